package sampler

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/prometheus/procfs"
)

// Sample is the use of processor and memory by one process so far.
type Sample struct {
	CPU    time.Duration
	Memory int // Resident bytes.
}

// Process reads the sample of process pid.
func Process(pid int) (Sample, error) {
	p, err := procfs.NewProc(pid)
	if err != nil {
		return Sample{}, errors.Wrap(err, "process")
	}
	s, err := p.Stat()
	if err != nil {
		return Sample{}, errors.Wrap(err, "process")
	}
	return Sample{CPU: time.Duration(s.CPUTime() * float64(time.Second)), Memory: s.ResidentMemory()}, nil
}

// Machine is the processor time of all cores so far, in seconds.
type Machine struct{ Busy, Total float64 }

// ReadMachine reads the processor time of the machine; without /proc it is zero.
func ReadMachine() Machine {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return Machine{}
	}
	s, err := fs.Stat()
	if err != nil {
		return Machine{}
	}
	c := s.CPUTotal
	busy := c.User + c.Nice + c.System + c.IRQ + c.SoftIRQ + c.Steal
	return Machine{Busy: busy, Total: busy + c.Idle + c.Iowait}
}

// Share returns the share of all cores that was busy from before until m.
func (m Machine) Share(before Machine) float64 {
	if m.Total == before.Total {
		return 0
	}
	return (m.Busy - before.Busy) / (m.Total - before.Total)
}

// Counter sums the counters name at url that have a label with value. It
// returns false when there is none.
func Counter(url, name, value string) (sum float64, found bool) {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(url)
	if err != nil {
		return 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	p := expfmt.NewTextParser(model.UTF8Validation)
	families, err := p.TextToMetricFamilies(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return 0, false
	}
	for _, m := range families[name].GetMetric() {
		for _, l := range m.GetLabel() {
			if l.GetValue() == value {
				sum, found = sum+m.GetCounter().GetValue(), true
			}
		}
	}
	return sum, found
}
