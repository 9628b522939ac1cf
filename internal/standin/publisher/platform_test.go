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

func getPath(p *publisher.Publisher, path string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	p.ServeHTTP(w, httptest.NewRequest("GET", path, nil))
	return w
}

// TestServeConfig guards against faults that are set but not served: the tests of
// the configuration clients would then pass without meeting the fault.
func TestServeConfig(t *testing.T) {
	p := new(publisher.Publisher)
	first, _ := p.Publish([]byte("one")), p.Publish([]byte("two"))
	for _, c := range []struct {
		name           string
		fault          func()
		code           int
		revision, text string
	}{
		{"latest", func() {}, 200, "2", "two"},
		{"stale", func() { p.Stale(first) }, 200, "1", "one"},
		{"rewound", func() { p.Stale(0); p.Rewind(first) }, 200, "3", "one"},
		{"one error", func() { p.Errors.Store(1) }, 500, "", "platform has an internal error\n"},
		{"after the error", func() {}, 200, "3", "one"},
		{"down", func() { p.Down.Store(true) }, 503, "", "platform is down\n"},
	} {
		c.fault()
		w := getPath(p, "/config?after=0&wait=0s")
		if got := w.Header().Get("Revision"); w.Code != c.code || got != c.revision || w.Body.String() != c.text {
			t.Errorf("%s: got %d, revision %q, text %q, want %d, %q, %q", c.name, w.Code, got, w.Body, c.code, c.revision, c.text)
		}
	}
}

// TestDelayAndListLag guards against a response delay or a list lag that has no effect,
// and against a peak of requests that misses the busiest second.
func TestDelayAndListLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := new(publisher.Publisher)
		p.Delay.Store(int64(time.Second))
		start := time.Now()
		getPath(p, "/config?wait=0s")
		if got := time.Since(start); got != time.Second {
			t.Errorf("got a response after %v on the fake clock, want 1s", got)
		}
		p.Delay.Store(0)
		for range 5 {
			getPath(p, "/config?wait=0s")
		}
		if got := p.Peak(); got < 5 {
			t.Errorf("got a peak of %d requests in a second, want at least 5", got)
		}
		p.SetList(make([]reader.Entry, 1))
		p.Lag.Store(int64(3 * time.Second))
		p.SetList(make([]reader.Entry, 2))
		for _, want := range []int{1, 1, 2, 2} {
			p.Freeze(want == 2)
			var l reader.List
			if err := json.Unmarshal(getPath(p, "/list").Body.Bytes(), &l); err != nil || len(l.Entries) != want {
				t.Errorf("got %d entries and error %v, want %d", len(l.Entries), err, want)
			}
			p.SetList(make([]reader.Entry, 2))
			time.Sleep(2 * time.Second)
		}
	})
}
