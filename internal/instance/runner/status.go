package runner

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"sardinelever.example/sardinelever/internal/call/classifier"
	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/operator/reporter"
	"sardinelever.example/sardinelever/internal/route/allocator"
)

// newReporter returns the reporter for the operators of this instance.
func (c *components) newReporter(ready func() bool) *reporter.Reporter {
	return &reporter.Reporter{
		IsReady:         ready,
		StatusSections:  []reporter.StatusSection{configSection{c}, fleetSection{c}, evacuationSection{c}, poolSection{c}, zoneSection{c}, trafficSection{c}, limitsSection{c}},
		Explainer:       explainer{c},
		Audit:           &c.audit,
		MetricsRegistry: c.metricsRegistry,
	}
}

type configSection struct{ *components }

// WriteStatus writes the version of the bundle in use, the ages of the last reads of
// configuration and list, and the refused bundles.
func (s configSection) WriteStatus(w io.Writer) {
	_, v := s.bundleStore.CurrentBundle()
	_, _ = fmt.Fprintf(w, "config\tversion=%d\tsum=%016x\tread=%s\tlist=%s\twatches=%t\n",
		v.Number, v.Sum, formatAge(s.configFollower.LastRead()), formatAge(s.listFollower.LastRead()), s.watchesConfiguration())
	for _, r := range s.bundleStore.RefusedBundles() {
		reason, _, _ := strings.Cut(r.Reason, "\n")
		_, _ = fmt.Fprintf(w, "refused\tversion=%v\tsource=%s\tage=%s\treason=%s\n", r.Version, r.Source, formatAge(r.Time), reason)
	}
}

type fleetSection struct{ *components }

// WriteStatus writes a line for each known instance.
func (s fleetSection) WriteStatus(w io.Writer) {
	for _, m := range s.members.Members() {
		_, _ = fmt.Fprintf(w, "instance\t%s\tzone=%s\tstate=%s\tlisted=%t\tself=%t\tincarnation=%d\n",
			m.Name, m.Zone, m.State, m.Listed, m.Self, m.Incarnation)
	}
}

type poolSection struct{ *components }

// WriteStatus writes the pools of which this instance is the home, with their queues
// and backend servers.
func (s poolSection) WriteStatus(w io.Writer) {
	for _, st := range s.allocator.PoolStatuses() {
		writePool(w, &st)
	}
}

func writePool(w io.Writer, s *allocator.PoolStatus) {
	_, _ = fmt.Fprintf(w, "pool\t%s\tslots=%d\treserve=%d\n", s.Key, s.Slots, s.Reserve)
	for i := range s.Ranks {
		r := &s.Ranks[i]
		_, _ = fmt.Fprintf(w, "queue\t%s\t%s\tqueued=%d\tgranted=%d\trefused=%s\twait=%s\n",
			s.Key, r.Rank, r.Queued, r.Granted, formatCounts(r.Refused), r.EstimatedWait.Round(time.Microsecond))
	}
	for i := range s.Servers {
		b := &s.Servers[i]
		availability := b.BlockedReason
		if availability == "" {
			availability = "gets work"
		}
		if b.Cold > 0 {
			availability += "\tcold=" + b.Cold.Round(time.Millisecond).String()
		}
		_, _ = fmt.Fprintf(w, "server\t%s\t%s\t%s\t%s\tbusy=%d/%d\tlimit=%d\tlatency=%s\tfailures=%.2f\t%s\n",
			s.Key, b.Name, b.Address, b.State, b.InFlight, b.Slots, b.Limit, b.Latency.Round(time.Microsecond), b.FailureRatio, availability)
	}
}

// formatCounts returns the counts sorted by reason, or "0" if there are none.
func formatCounts(m map[string]uint64) string {
	if len(m) == 0 {
		return "0"
	}
	var out []string
	for reason, n := range m {
		out = append(out, fmt.Sprintf("%s:%d", reason, n))
	}
	slices.Sort(out)
	return strings.Join(out, ",")
}

type trafficSection struct{ *components }

// WriteStatus writes the numbers of probes and configuration reads and the bytes of
// the links between instances.
func (s trafficSection) WriteStatus(w io.Writer) {
	_, _ = fmt.Fprintf(w, "probes\tsent=%d\tskipped=%d\n", s.prober.ProbesSent(), s.prober.ProbesSkipped())
	_, _ = fmt.Fprintf(w, "reads\tconfig=%d\n", s.configFollower.CallCount())
	stats := s.connector.Stats()
	for _, k := range countedStreamKinds {
		n := stats.BytesByKind[k]
		_, _ = fmt.Fprintf(w, "links\t%s\tin=%d\tout=%d\n", k, n.In, n.Out)
	}
	_, _ = fmt.Fprintf(w, "links\tsessions=%d\trefused=%d\n", len(stats.Sessions), stats.RefusedSessions)
}

// formatAge returns the time since t, or "never" for the zero time.
func formatAge(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return time.Since(t).Round(time.Millisecond).String()
}

type explainer struct{ *components }

// ExplainCall writes how the instance would handle the call that the query describes.
func (e explainer) ExplainCall(w io.Writer, r *http.Request) {
	q := r.URL.Query()
	call, err := http.NewRequestWithContext(r.Context(), q.Get("method"), q.Get("path"), nil)
	if err != nil {
		_, _ = fmt.Fprintf(w, "classify\trefused: %v\n", err)
		return
	}
	call.Host = q.Get("host")
	if rank := q.Get("rank"); rank != "" {
		call.Header.Set("Sardine-Rank", rank)
	}
	now := time.Now()
	c, err := e.handler.responder.ClassifyRequest(e.routingTable.Load(), call, now)
	if err != nil {
		_, _ = fmt.Fprintf(w, "classify\trefused: %v\n", err)
		return
	}
	_, _ = fmt.Fprintf(w, "classify\tservice=%s\trank=%s\tidempotent=%t\tdeadline=%s\n",
		c.Service.Name, c.Rank, c.Idempotent, c.Deadline.Sub(now))
	e.explainDeduplication(w, c)
	e.explainSlots(w, c.Service.Name, c.Rank)
}

// explainDeduplication writes whether the call is deduplicated by its
// idempotency key.
func (e explainer) explainDeduplication(w io.Writer, c *classifier.Call) {
	switch {
	case c.Idempotent:
		_, _ = fmt.Fprintf(w, "dedupe\tnot needed: idempotent; retried and hedged within the budget\n")
	default:
		_, _ = fmt.Fprintf(w, "dedupe\twith an identity: at its place only; without one: here, sent once\n")
	}
}

// explainSlots writes the homes that are asked for a slot and, for the pools of which
// this instance is the home, their queues and backend servers.
func (e explainer) explainSlots(w io.Writer, service string, rank parser.Rank) {
	for _, h := range e.slotClient.PoolHomes(service) {
		_, _ = fmt.Fprintf(w, "ask\t%s\thome=%s\n", h.Pool, h.Home)
	}
	for _, s := range e.allocator.ServicePoolStatuses(service) {
		_, _ = fmt.Fprintf(w, "grant\t%s\trank=%s\twait=%s\n", s.Key, rank, s.Ranks[rank].EstimatedWait.Round(time.Microsecond))
		writePool(w, &s)
	}
}
