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
	"sardinelever.example/sardinelever/internal/route/granter"
)

// reporter returns the handler of the operators' listener.
func (p *parts) reporter(ready func() bool) *reporter.Reporter {
	return &reporter.Reporter{
		Ready:    ready,
		Sections: []reporter.Section{configSection{p}, fleetSection{p}, poolSection{p}, probeSection{p}},
		Explain:  explainer{p},
		Audit:    &p.audit,
		Registry: p.registry,
	}
}

type configSection struct{ *parts }

// Report writes the bundle in force, its age at the platform and refused bundles.
func (s configSection) Report(w io.Writer) {
	_, v := s.keeper.CurrentBundle()
	_, _ = fmt.Fprintf(w, "config\tversion=%d\tsum=%016x\tread=%s\tlist=%s\twatches=%t\n",
		v.Number, v.Sum, age(s.configs.LastRead()), age(s.lists.LastRead()), s.watches())
	for _, r := range s.keeper.RefusedBundles() {
		reason, _, _ := strings.Cut(r.Reason, "\n")
		_, _ = fmt.Fprintf(w, "refused\tversion=%v\tsource=%s\tage=%s\treason=%s\n", r.Version, r.Source, age(r.Time), reason)
	}
}

type fleetSection struct{ *parts }

// Report writes a line for each known instance.
func (s fleetSection) Report(w io.Writer) {
	for _, m := range s.members.Members() {
		_, _ = fmt.Fprintf(w, "instance\t%s\tzone=%s\tstate=%s\tlisted=%t\tself=%t\tincarnation=%d\n",
			m.Name, m.Zone, m.State, m.Listed, m.Self, m.Incarnation)
	}
}

type poolSection struct{ *parts }

// Report writes the pools of which this instance is the home.
func (s poolSection) Report(w io.Writer) {
	for _, st := range s.granter.PoolStatuses() {
		writePool(w, &st)
	}
}

func writePool(w io.Writer, s *granter.PoolStatus) {
	_, _ = fmt.Fprintf(w, "pool\t%s\tslots=%d\treserve=%d\n", s.Key, s.Slots, s.Reserve)
	for i := range s.Ranks {
		r := &s.Ranks[i]
		_, _ = fmt.Fprintf(w, "queue\t%s\t%s\tqueued=%d\tgranted=%d\trefused=%s\twait=%s\n",
			s.Key, r.Rank, r.Queued, r.Granted, counts(r.Refused), r.EstimatedWait.Round(time.Microsecond))
	}
	for i := range s.Servers {
		b := &s.Servers[i]
		why := b.BlockedReason
		if why == "" {
			why = "gets work"
		}
		_, _ = fmt.Fprintf(w, "server\t%s\t%s\t%s\t%s\tbusy=%d/%d\tlimit=%d\tlatency=%s\tfailures=%.2f\t%s\n",
			s.Key, b.Name, b.Address, b.State, b.InFlight, b.Slots, b.Limit, b.Latency.Round(time.Microsecond), b.Failures, why)
	}
}

// counts writes the counts by reason in order, "0" without any.
func counts(m map[string]uint64) string {
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

type probeSection struct{ *parts }

// Report writes what was spent on probes and configuration reads.
func (s probeSection) Report(w io.Writer) {
	_, _ = fmt.Fprintf(w, "probes\tsent=%d\tskipped=%d\n", s.prober.ProbesSent(), s.prober.ProbesSkipped())
	_, _ = fmt.Fprintf(w, "reads\tconfig=%d\n", s.configs.CallCount())
	c := s.linker.Stats()
	for _, k := range kinds {
		n := c.BytesByKind[k]
		_, _ = fmt.Fprintf(w, "links\t%s\tin=%d\tout=%d\n", k, n.In, n.Out)
	}
	_, _ = fmt.Fprintf(w, "links\tsessions=%d\trefused=%d\n", len(c.Sessions), c.RefusedSessions)
}

func age(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return time.Since(t).Round(time.Millisecond).String()
}

type explainer struct{ *parts }

// Explain writes what happens to the call that the query describes.
func (e explainer) Explain(w io.Writer, r *http.Request) {
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
	c, err := e.pipe.answer.ClassifyRequest(e.maps.Load(), call, now)
	if err != nil {
		_, _ = fmt.Fprintf(w, "classify\trefused: %v\n", err)
		return
	}
	_, _ = fmt.Fprintf(w, "classify\tservice=%s\trank=%s\tidempotent=%t\tdeadline=%s\n",
		c.Service.Name, c.Rank, c.Idempotent, c.Deadline.Sub(now))
	e.explainIdentity(w, c)
	e.explainSlots(w, c.Service.Name, c.Rank)
}

func (e explainer) explainIdentity(w io.Writer, c *classifier.Call) {
	switch {
	case c.Idempotent:
		_, _ = fmt.Fprintf(w, "dedupe\tnot needed: idempotent; retried and hedged within the budget\n")
	default:
		_, _ = fmt.Fprintf(w, "dedupe\twith an identity: at its place only; without one: here, sent once\n")
	}
}

// explainSlots writes the homes that are asked and, for pools held here, what they would grant.
func (e explainer) explainSlots(w io.Writer, service string, rank parser.Rank) {
	for _, h := range e.asker.PoolHomes(service) {
		_, _ = fmt.Fprintf(w, "ask\t%s\thome=%s\n", h.Pool, h.Home)
	}
	for _, s := range e.granter.ExplainService(service) {
		_, _ = fmt.Fprintf(w, "grant\t%s\trank=%s\twait=%s\n", s.Key, rank, s.Ranks[rank].EstimatedWait.Round(time.Microsecond))
		writePool(w, &s)
	}
}
