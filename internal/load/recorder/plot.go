package recorder

import (
	"image/color"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// WritePlot writes the file name.png in dir, a plot of the p50 and p99 of the
// latency of each stream over time. A point covers the calls with intended send
// times in one plotInterval, and an unserved call counts with at least its
// deadline. Without calls it writes nothing.
func WritePlot(dir, name string, calls []Call) error {
	if len(calls) == 0 {
		return nil
	}
	start := calls[0].Start
	for i := range calls {
		if calls[i].Start.Before(start) {
			start = calls[i].Start
		}
	}
	p := plot.New()
	p.Title.Text = name
	p.X.Label.Text = "intended send time, s"
	p.Y.Label.Text = "latency of all calls, ms"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	for i, s := range streamsOf(calls) {
		for j, percent := range []float64{50, 99} {
			line, err := plotter.NewLine(percentilePoints(calls, s.Name, start, percent))
			if err != nil {
				continue // The stream has too few points for a line.
			}
			line.Color = lineColors[i%len(lineColors)]
			line.Dashes = [][]vg.Length{{vg.Points(2), vg.Points(2)}, nil}[j]
			p.Add(line)
			p.Legend.Add(s.Name+[]string{" p50", " p99"}[j], line)
		}
	}
	return errors.Wrap(p.Save(24*vg.Centimeter, 12*vg.Centimeter, filepath.Join(dir, name+".png")), "plot")
}

// lineColors are the colors of the streams in a plot, in turn.
var lineColors = []color.Color{
	color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff},
	color.RGBA{R: 0xd6, G: 0x27, B: 0x28, A: 0xff},
	color.RGBA{R: 0x2c, G: 0xa0, B: 0x2c, A: 0xff},
	color.RGBA{R: 0x94, G: 0x67, B: 0xbd, A: 0xff},
}

// plotInterval is the interval of intended send times that one point of a plot
// covers.
const plotInterval = 500 * time.Millisecond

// percentilePoints returns the percentile of the latency of all calls of stream,
// in milliseconds, for each plotInterval with calls since start. An unserved call
// counts with at least its deadline.
func percentilePoints(calls []Call, stream string, start time.Time, percent float64) plotter.XYs {
	callsByInterval := make(map[int][]Call)
	last := 0
	for i := range calls {
		if calls[i].Arrival.Stream.Name != stream {
			continue
		}
		interval := int(calls[i].Start.Sub(start) / plotInterval)
		callsByInterval[interval] = append(callsByInterval[interval], calls[i])
		last = max(last, interval)
	}
	var points plotter.XYs
	for interval := range last + 1 {
		if len(callsByInterval[interval]) == 0 {
			continue
		}
		latency := Percentile(SummarizeCalls(callsByInterval[interval]).PenalizedLatency, percent)
		points = append(points, plotter.XY{X: float64(interval) * plotInterval.Seconds(), Y: float64(latency.Microseconds()) / 1000})
	}
	return points
}
