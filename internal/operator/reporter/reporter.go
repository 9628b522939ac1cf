package reporter

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/pprof"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"sardinelever.example/sardinelever/internal/operator/auditor"
)

// StatusSection writes one section of the status. Each line starts with a word for its
// kind, followed by columns or key=value pairs, all separated by tabs.
type StatusSection interface {
	WriteStatus(w io.Writer)
}

// Explainer explains how the instance would handle a call.
type Explainer interface {
	ExplainCall(w io.Writer, r *http.Request)
}

// Reporter provides the HTTP handler for operators. The fields are set before the
// handler serves requests.
type Reporter struct {
	IsReady         func() bool
	StatusSections  []StatusSection
	Explainer       Explainer
	Audit           *auditor.Trail
	MetricsRegistry *prometheus.Registry
}

// Handler returns the HTTP handler for operators.
func (r *Reporter) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /ready", r.serveReady)
	m.HandleFunc("GET /status", r.serveStatus)
	m.HandleFunc("GET /audit", r.serveAudit)
	m.HandleFunc("GET /explain", r.serveExplain)
	m.Handle("GET /metrics", promhttp.HandlerFor(r.MetricsRegistry, promhttp.HandlerOpts{}))
	m.HandleFunc("/debug/pprof/", pprof.Index)
	m.HandleFunc("/debug/pprof/profile", pprof.Profile)
	m.HandleFunc("/debug/pprof/trace", pprof.Trace)
	return m
}

func (r *Reporter) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !r.IsReady() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (r *Reporter) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeTable(w, func(w io.Writer) {
		for _, s := range r.StatusSections {
			s.WriteStatus(w)
		}
	})
}

// singleLine joins the lines of a cause, such as the mistakes in a bundle, into one.
var singleLine = strings.NewReplacer("\n", "; ", "\t", " ")

func (r *Reporter) serveAudit(w http.ResponseWriter, _ *http.Request) {
	writeTable(w, func(w io.Writer) {
		for _, c := range r.Audit.Changes() {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t->\t%s\n",
				c.Time.UTC().Format(time.RFC3339Nano), c.Component, c.Subject, singleLine.Replace(c.Cause), c.Before, c.After)
		}
	})
}

func (r *Reporter) serveExplain(w http.ResponseWriter, req *http.Request) {
	writeTable(w, func(w io.Writer) { r.Explainer.ExplainCall(w, req) })
}

// writeTable calls write and aligns the columns that it separates by tabs. The text
// is complete before it is sent, so that a slow client cannot keep a status section
// locked.
func writeTable(w http.ResponseWriter, write func(io.Writer)) {
	var b bytes.Buffer
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	write(t)
	_ = t.Flush()
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write(b.Bytes())
}
