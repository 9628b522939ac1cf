package recorder

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sardinelever.example/sardinelever/internal/load/planner"
)

// Table writes one line for each stream: the calls by outcome, percentiles of
// the served calls, and the p99 of all calls in which a call that was not
// served counts with its deadline.
func Table(w io.Writer, title string, calls []Call) {
	_, _ = fmt.Fprintf(w, "%s\n", title)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "stream\trank\toffered\tserved\tnot run\tunknown\tfailed\tcut\tforeign\tp50 ms\tp90\tp99\tp99.9\tp99 all\t")
	kinds := streams(calls)
	slices.SortFunc(kinds, func(a, b *planner.Stream) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Name, b.Name))
	})
	for _, kind := range kinds {
		s := Summarize(slices.DeleteFunc(slices.Clone(calls), func(c Call) bool { return c.Arrival.Stream.Name != kind.Name }))
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t", kind.Name, kind.Rank, s.Offered)
		for _, n := range s.Count {
			_, _ = fmt.Fprintf(t, "%d\t", n)
		}
		for _, q := range []float64{50, 90, 99, 99.9} {
			_, _ = fmt.Fprintf(t, "%s\t", ms(s.Latency, q))
		}
		_, _ = fmt.Fprintf(t, "%s\t\n", ms(s.Cost, 99))
	}
	_ = t.Flush()
}

func ms(h *hdrhistogram.Histogram, q float64) string {
	return fmt.Sprintf("%.2f", float64(h.ValueAtQuantile(q))/1000)
}

// Reasons writes how often each reason stood in calls without a whole answer.
func Reasons(w io.Writer, calls []Call) {
	count := make(map[string]int)
	for i := range calls {
		for _, a := range calls[i].Attempts {
			if a.Outcome != Served {
				count[fmt.Sprintf("%s: %.80s", [...]string{"served", "not run", "unknown", "failed", "cut", "foreign"}[a.Outcome], a.Reason)]++
			}
		}
	}
	keys := make([]string, 0, len(count))
	for k := range count {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b string) int { return cmp.Or(count[b]-count[a], cmp.Compare(a, b)) })
	for _, k := range keys[:min(len(keys), 8)] {
		_, _ = fmt.Fprintf(w, "  %d attempts %s\n", count[k], k)
	}
}
