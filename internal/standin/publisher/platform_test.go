package publisher_test

import (
	"encoding/json"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"sardinelever.example/sardinelever/internal/platform/reader"
	"sardinelever.example/sardinelever/internal/standin/publisher"
)

func getPath(p *publisher.Platform, path string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	p.ServeHTTP(w, httptest.NewRequest("GET", path, nil))
	return w
}

// TestServeConfig guards against faults that are set but not served: the tests of
// the configuration clients would then pass without meeting the fault.
func TestServeConfig(t *testing.T) {
	p := new(publisher.Platform)
	first, _ := p.PublishBundle([]byte("one")), p.PublishBundle([]byte("two"))
	for _, c := range []struct {
		name           string
		fault          func()
		code           int
		revision, text string
	}{
		{"latest", func() {}, 200, "2", "two"},
		{"stale", func() { p.ServeRevision(first) }, 200, "1", "one"},
		{"rewound", func() { p.ServeRevision(0); p.RepublishRevision(first) }, 200, "3", "one"},
		{"one error", func() { p.InternalErrors.Store(1) }, 500, "", "platform has an internal error\n"},
		{"after the error", func() {}, 200, "3", "one"},
		{"down", func() { p.Unavailable.Store(true) }, 503, "", "platform is down\n"},
	} {
		c.fault()
		w := getPath(p, "/config?after=0&wait=0s")
		if got := w.Header().Get("Revision"); w.Code != c.code || got != c.revision || w.Body.String() != c.text {
			t.Errorf("%s: got %d, revision %q, text %q, want %d, %q, %q", c.name, w.Code, got, w.Body, c.code, c.revision, c.text)
		}
	}
}

// TestDelayAndListLag guards against a response delay that has no effect, against
// a new list that /list shows before ListLagNanos has passed, or never, and against
// a reported peak request rate that leaves out the second with the most requests.
func TestDelayAndListLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := new(publisher.Platform)
		p.ResponseDelayNanos.Store(int64(time.Second))
		start := time.Now()
		getPath(p, "/config?wait=0s")
		if got := time.Since(start); got != time.Second {
			t.Errorf("got a response after %v on the fake clock, want 1s", got)
		}
		p.ResponseDelayNanos.Store(0)
		for range 5 {
			getPath(p, "/config?wait=0s")
		}
		if got := p.PeakConfigRequests(); got < 5 {
			t.Errorf("got a peak of %d requests in a second, want at least 5", got)
		}
		p.SetList(make([]reader.Entry, 1))
		p.ListLagNanos.Store(int64(3 * time.Second))
		p.SetList(make([]reader.Entry, 2))
		for _, want := range []int{1, 1, 2, 2} {
			p.FreezeList(want == 2)
			var l reader.List
			if err := json.Unmarshal(getPath(p, "/list").Body.Bytes(), &l); err != nil || len(l.Entries) != want {
				t.Errorf("got %d entries and error %v, want %d", len(l.Entries), err, want)
			}
			p.SetList(make([]reader.Entry, 2))
			time.Sleep(2 * time.Second)
		}
	})
}
