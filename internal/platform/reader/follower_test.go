package reader_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"sardinelever.example/sardinelever/internal/config/bundler"
	"sardinelever.example/sardinelever/internal/config/keeper"
	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/operator/auditor"
	"sardinelever.example/sardinelever/internal/platform/reader"
	"sardinelever.example/sardinelever/internal/standin/publisher"
)

// handlerTransport passes requests to a handler without a network, so that tests can
// use the fake clock of synctest.
type handlerTransport struct{ handler http.Handler }

// RoundTrip returns the response of the handler to r, or an error when the context of r
// is done by then.
func (t handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	t.handler.ServeHTTP(w, r)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return w.Result(), nil
}

var discardLogger = &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}

// fixture is a fake platform with a follower of its configuration and the keeper that
// receives the bundles.
type fixture struct {
	*testing.T
	publisher publisher.Platform
	keeper    keeper.BundleStore
	follower  reader.ConfigFollower
	ctx       context.Context
	done      chan error
}

// runWithFixture calls test on the fake clock with a fixture whose follower is not
// started yet. The test must start it, because runWithFixture waits for its end.
func runWithFixture(t *testing.T, test func(x *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		x := &fixture{T: t, done: make(chan error, 1)}
		var stop context.CancelFunc
		x.ctx, stop = context.WithCancel(t.Context())
		x.follower = reader.ConfigFollower{Client: x.newClient(), BundleSink: &x.keeper, Log: discardLogger}
		test(x)
		stop()
		<-x.done
	})
}

func (f *fixture) newClient() *reader.Client {
	return &reader.Client{BaseURL: "http://platform", HTTP: &http.Client{Transport: handlerTransport{&f.publisher}}}
}

func (f *fixture) startFollower() { go f.runFollower() }

func (f *fixture) runFollower() { f.done <- f.follower.Run(f.ctx) }

// advance moves the fake clock by d and waits until all goroutines are blocked.
func (f *fixture) advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func (f *fixture) publishVersion(version uint64) uint64 {
	text, err := bundler.BuildBundle([]parser.Service{{Name: "a", Slots: 1}}, version, version-1)
	if err != nil {
		f.Fatal(err)
	}
	return f.publisher.PublishBundle(text)
}

func (f *fixture) checkVersion(version uint64) {
	f.Helper()
	if _, got := f.keeper.CurrentBundle(); got.Number != version {
		f.Errorf("got version %d in force, want %d", got.Number, version)
	}
}

// TestConfigWatch guards against a reader that misses a publication, that polls
// instead of keeping one watch pending, or that returns to an older bundle when the
// platform serves it again.
func TestConfigWatch(t *testing.T) {
	runWithFixture(t, func(x *fixture) {
		first := x.publishVersion(1)
		x.startFollower()
		x.advance(time.Second)
		x.checkVersion(1)
		x.publishVersion(2)
		x.advance(time.Second)
		x.checkVersion(2)
		calls := x.follower.CallCount()
		x.advance(5 * time.Minute)
		if got, want := x.follower.CallCount()-calls, int64(10); got > want {
			t.Errorf("got %d calls in 5 min without a change, want at most %d", got, want)
		}
		x.publisher.RepublishRevision(first)
		x.advance(time.Second)
		x.checkVersion(2)
		x.publisher.ServeRevision(first)
		x.advance(time.Second)
		x.checkVersion(2)
		x.publisher.ServeRevision(0)
		x.publishVersion(3)
		x.advance(time.Second)
		x.checkVersion(3)
	})
}

// TestConfigOutage guards against a reader that calls a failing platform too often, and
// against one that does not read after the platform recovered.
func TestConfigOutage(t *testing.T) {
	runWithFixture(t, func(x *fixture) {
		x.publishVersion(1)
		x.publisher.Unavailable.Store(true)
		x.startFollower()
		x.advance(10 * time.Minute)
		if got, limit := x.follower.CallCount(), int64(60); got > limit {
			t.Errorf("got %d calls in 10 min of outage, want at most %d", got, limit)
		}
		x.publisher.Unavailable.Store(false)
		x.publisher.InternalErrors.Store(1)
		x.advance(2 * time.Minute)
		x.checkVersion(1)
	})
}

// TestDisagreeingReplicas guards against too many calls when replicas of the platform
// respond with different revisions in turn, so that each watch returns at once.
func TestDisagreeingReplicas(t *testing.T) {
	runWithFixture(t, func(x *fixture) {
		x.publishVersion(1)
		x.publishVersion(2)
		x.startFollower()
		for i := range uint64(600) {
			x.publisher.ServeRevision(1 + i%2)
			x.advance(100 * time.Millisecond)
		}
		if got, limit := x.follower.CallCount(), int64(65); got > limit {
			t.Errorf("got %d calls in 60 s, want at most %d", got, limit)
		}
		x.checkVersion(2)
	})
}

// TestFallbackReads guards against an instance that reads although it receives
// announcements, and against one without announcements that never reads.
func TestFallbackReads(t *testing.T) {
	runWithFixture(t, func(x *fixture) {
		var heard atomic.Bool
		heard.Store(true)
		x.follower.IsReader = func() bool { return false }
		x.follower.HeardAnnouncement = heard.Load
		x.publishVersion(1)
		x.startFollower()
		x.advance(10 * time.Minute)
		if got := x.follower.CallCount(); got != 0 {
			t.Errorf("got %d calls while announcements are heard, want 0", got)
		}
		heard.Store(false)
		x.advance(2 * time.Minute)
		x.checkVersion(1)
		calls := x.follower.CallCount()
		x.advance(10 * time.Minute)
		if got := x.follower.CallCount() - calls; got < 8 || got > 12 {
			t.Errorf("got %d calls in 10 min without announcements, want about 10", got)
		}
	})
}

// TestFirstReadWithoutPeers guards against a new instance without peers that waits for
// the fallback period of a minute before it reads its first bundle.
func TestFirstReadWithoutPeers(t *testing.T) {
	runWithFixture(t, func(x *fixture) {
		x.follower.IsReader = func() bool { return false }
		x.publishVersion(1)
		x.startFollower()
		x.advance(8 * time.Second)
		x.checkVersion(1)
	})
}

// TestListFollower guards against a follower that loses the list in an outage, that
// reports a read while missing instances are kept, or that leaves changes out of the
// audit trail.
func TestListFollower(t *testing.T) {
	runWithFixture(t, func(x *fixture) {
		audit := &auditor.Trail{Log: discardLogger}
		updates := 0
		f := &reader.ListFollower{Client: x.newClient(), Audit: audit, Log: discardLogger, OnChange: func(*reader.List) { updates++ }}
		x.publisher.SetList(newEntries("", 3, 0))
		go x.runListFollower(f)
		x.advance(time.Second)
		x.publisher.SetList(newEntries("", 4, 1))
		x.advance(2 * time.Second)
		read := f.LastRead()
		if l := f.List(); len(l.Entries) != 4 || !l.Entries[0].Leaving || updates != 2 {
			t.Errorf("got %v after %d updates, want 4 entries after 2", l.Entries, updates)
		}
		x.publisher.Unavailable.Store(true)
		x.advance(time.Minute)
		if got := f.LastRead(); len(f.List().Entries) != 4 || got.After(read.Add(2*time.Second)) {
			t.Errorf("got %d entries read at %v in an outage, want 4 read about %v", len(f.List().Entries), got, read)
		}
		x.publisher.Unavailable.Store(false)
		x.publisher.SetList(nil)
		x.advance(8 * time.Second)
		if f.LastResponse().Before(read.Add(time.Minute)) || f.LastRead().After(read.Add(time.Minute)) {
			t.Errorf("got answer at %v and read at %v of a held list, want an answer only", f.LastResponse(), f.LastRead())
		}
		x.advance(time.Minute)
		if got := len(f.List().Entries); got != 0 {
			t.Errorf("got %d entries after the hold, want 0", got)
		}
		var causes []string
		for _, c := range audit.Changes() {
			causes = append(causes, c.Cause)
		}
		got := strings.Join(causes, "; ")
		for _, want := range []string{"first read; changed in the list; joined the list", "lost more than half of a kind", "left the list"} {
			if !strings.Contains(got, want) {
				t.Errorf("got causes %q, want also %q", got, want)
			}
		}
		x.startFollower()
	})
}

func (f *fixture) runListFollower(follower *reader.ListFollower) { _ = follower.Run(f.ctx) }

// TestUnchangedList guards against a follower that transfers an unchanged list with
// each read, and against missing entries that are kept forever because the platform
// has no newer list to send.
func TestUnchangedList(t *testing.T) {
	runWithFixture(t, func(x *fixture) {
		f := &reader.ListFollower{Client: x.newClient(), Log: discardLogger}
		x.publisher.SetList(newEntries("a", 4, 0))
		go x.runListFollower(f)
		x.advance(10 * time.Minute)
		once := x.publisher.ListBytesSent.Load()
		if got := x.publisher.ListRequests.Load(); got < 500 || once > 1000 {
			t.Errorf("got %d reads and %d bytes for one list of 4 entries, want about 600 and below 1000", got, once)
		}
		if got := f.LastRead(); time.Since(got) > 2*time.Second {
			t.Errorf("got last read at %v, want it within 2 s of %v on the fake clock", got, time.Now())
		}
		x.publisher.SetList(nil)
		x.advance(65 * time.Second)
		if got := len(f.List().Entries); got != 0 {
			t.Errorf("got %d entries after the hold, want 0", got)
		}
		x.startFollower()
	})
}

// BenchmarkList measures reads of a changed and of an unchanged list at the intended
// size of 2,000 backend servers and 130 instances.
func BenchmarkList(b *testing.B) {
	var p publisher.Platform
	p.SetList(append(newEntries("", 130, 0), newEntries("a-service", 2000, 0)...))
	c := &reader.Client{BaseURL: "http://platform", HTTP: &http.Client{Transport: handlerTransport{&p}}}
	_, tag, err := c.ReadListIfChanged(b.Context(), "")
	if err != nil {
		b.Fatal(err)
	}
	for _, tag := range []string{"", tag} {
		b.Run(fmt.Sprint("changed=", tag == ""), func(b *testing.B) {
			before := p.ListBytesSent.Load()
			for b.Loop() {
				if _, _, err := c.ReadListIfChanged(b.Context(), tag); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(p.ListBytesSent.Load()-before)/float64(b.N), "bytes/read")
		})
	}
}

// TestInvalidResponses guards against invalid responses that are returned as a value or
// a list.
func TestInvalidResponses(t *testing.T) {
	for _, c := range []struct{ name, revision, body string }{
		{"no revision", "", "x"}, {"bad revision", "-1", "x"}, {"too large", "1", strings.Repeat("x", reader.MaxValueBytes+1)}, {"empty", "", ""}, {"no time", "", "{}"},
	} {
		h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Revision", c.revision)
			_, _ = io.WriteString(w, c.body)
		})
		client := &reader.Client{BaseURL: "http://platform", HTTP: &http.Client{Transport: handlerTransport{h}}}
		if v, err := client.ReadConfig(t.Context(), 0, 0); !errors.Is(err, reader.ErrNoPlatformResponse) {
			t.Errorf("%s: got %v and error %v, want %v", c.name, v, err, reader.ErrNoPlatformResponse)
		}
		if l, err := client.ReadList(t.Context()); !errors.Is(err, reader.ErrNoPlatformResponse) {
			t.Errorf("%s: got list %v and error %v, want %v", c.name, l, err, reader.ErrNoPlatformResponse)
		}
	}
}
