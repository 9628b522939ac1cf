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

// WriteTable writes one line for each stream of calls: the number of calls by
// outcome, latency percentiles of the served calls, and the p99 of all calls, in
// which an unserved call counts with at least its deadline.
func WriteTable(w io.Writer, title string, calls []Call) {
	_, _ = fmt.Fprintf(w, "%s\n", title)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "stream\trank\toffered\tserved\tnot run\tunknown\tfailed\tcut\tforeign\tp50 ms\tp90\tp99\tp99.9\tp99 all\t")
	streams := streamsOf(calls)
	slices.SortFunc(streams, func(a, b *planner.Stream) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Name, b.Name))
	})
	for _, stream := range streams {
		summary := SummarizeCalls(slices.DeleteFunc(slices.Clone(calls), func(c Call) bool { return c.Arrival.Stream.Name != stream.Name }))
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t", stream.Name, stream.Rank, summary.Offered)
		for _, n := range summary.OutcomeCounts {
			_, _ = fmt.Fprintf(t, "%d\t", n)
		}
		for _, percent := range []float64{50, 90, 99, 99.9} {
			_, _ = fmt.Fprintf(t, "%s\t", formatMilliseconds(summary.ServedLatency, percent))
		}
		_, _ = fmt.Fprintf(t, "%s\t\n", formatMilliseconds(summary.PenalizedLatency, 99))
	}
	_ = t.Flush()
}

// formatMilliseconds returns the percentile of h, which holds microseconds, in
// milliseconds.
func formatMilliseconds(h *hdrhistogram.Histogram, percent float64) string {
	return fmt.Sprintf("%.2f", float64(h.ValueAtQuantile(percent))/1000)
}

// WriteReasons writes how often the most frequent combinations of outcome and
// reason occurred in attempts that were not served.
func WriteReasons(w io.Writer, calls []Call) {
	counts := make(map[string]int)
	for i := range calls {
		for _, a := range calls[i].Attempts {
			if a.Outcome != Served {
				counts[fmt.Sprintf("%s: %.80s", [...]string{"served", "not run", "unknown", "failed", "cut", "foreign"}[a.Outcome], a.Reason)]++
			}
		}
	}
	keys := make([]string, 0, len(counts))
	for k := range counts {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b string) int { return cmp.Or(counts[b]-counts[a], cmp.Compare(a, b)) })
	for _, k := range keys[:min(len(keys), 8)] {
		_, _ = fmt.Fprintf(w, "  %d attempts %s\n", counts[k], k)
	}
}
