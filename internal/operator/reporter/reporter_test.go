package reporter_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"sardinelever.example/sardinelever/internal/operator/auditor"
	"sardinelever.example/sardinelever/internal/operator/reporter"
)

type textSection string

func (t textSection) WriteStatus(w io.Writer) { _, _ = io.WriteString(w, string(t)) }

type pathExplainer struct{}

func (pathExplainer) ExplainCall(w io.Writer, r *http.Request) {
	_, _ = fmt.Fprintf(w, "classify\t%s\n", r.URL.Query().Get("path"))
}

// TestHandlerPaths guards against a wrong status or text of a path, columns that are
// not aligned and audit entries that take more than one line.
func TestHandlerPaths(t *testing.T) {
	audit := &auditor.Trail{Log: &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}}}
	at := time.Date(2026, 3, 1, 8, 0, 0, 5e8, time.UTC)
	audit.RecordChange(auditor.Change{Time: at, Component: "route", Subject: "guidance-1", Cause: "documented refusal", Before: "limit 2", After: "limit 1"})
	audit.RecordChange(auditor.Change{Time: at, Component: "config", Subject: "bundle 3/00", Cause: "refused: one\ntwo\tthree", Before: "2/00", After: "2/00"})
	ready := false
	r := &reporter.Reporter{
		IsReady:        func() bool { return ready },
		StatusSections: []reporter.StatusSection{textSection("config\tversion=1\tread=2s\n"), textSection("instance\ta1\tzone=a\n")},
		Explainer:      pathExplainer{}, Audit: audit, MetricsRegistry: prometheus.NewRegistry(),
	}
	h := r.Handler()
	for _, c := range []struct {
		path, want string
		status     int
	}{
		{"/ready", "not ready\n", http.StatusServiceUnavailable},
		{"/status", "config    version=1  read=2s\ninstance  a1         zone=a\n", http.StatusOK},
		{"/explain?path=/lookup", "classify  /lookup\n", http.StatusOK},
		{"/audit", "2026-03-01T08:00:00.5Z  route   guidance-1   documented refusal       limit 2  ->  limit 1\n" +
			"2026-03-01T08:00:00.5Z  config  bundle 3/00  refused: one; two three  2/00     ->  2/00\n", http.StatusOK},
		{"/other", "404 page not found\n", http.StatusNotFound},
	} {
		status, got := getPath(h, c.path)
		if status != c.status || got != c.want {
			t.Errorf("%s: got %d %q, want %d %q", c.path, status, got, c.status, c.want)
		}
	}
	ready = true
	if status, got := getPath(h, "/ready"); status != http.StatusOK || got != "ready\n" {
		t.Errorf("got %d %q, want 200 %q", status, got, "ready\n")
	}
}

func getPath(h http.Handler, path string) (status int, text string) {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	return w.Code, w.Body.String()
}
