package sampler

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/prometheus/procfs"
)

// ProcessUsage is the processor time that a process has used since its start and
// the memory that it uses now.
type ProcessUsage struct {
	CPU    time.Duration // User and system time.
	Memory int           // Resident memory in bytes.
}

// ReadProcessUsage reads the usage of the process with id pid.
func ReadProcessUsage(pid int) (ProcessUsage, error) {
	p, err := procfs.NewProc(pid)
	if err != nil {
		return ProcessUsage{}, errors.Wrap(err, "process")
	}
	s, err := p.Stat()
	if err != nil {
		return ProcessUsage{}, errors.Wrap(err, "process")
	}
	return ProcessUsage{CPU: time.Duration(s.CPUTime() * float64(time.Second)), Memory: s.ResidentMemory()}, nil
}

// MachineCPU is the processor time of all cores since the start of the machine, in
// seconds. Total is Busy plus the time in which cores were idle or waited for
// input and output.
type MachineCPU struct{ Busy, Total float64 }

// ReadMachineCPU reads the processor time of the machine. It returns the zero
// value if /proc cannot be read.
func ReadMachineCPU() MachineCPU {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return MachineCPU{}
	}
	s, err := fs.Stat()
	if err != nil {
		return MachineCPU{}
	}
	c := s.CPUTotal
	busy := c.User + c.Nice + c.System + c.IRQ + c.SoftIRQ + c.Steal
	return MachineCPU{Busy: busy, Total: busy + c.Idle + c.Iowait}
}

// BusyShare returns the share of the processor time of all cores, from 0 to 1, that
// was busy between the earlier reading before and m.
func (m MachineCPU) BusyShare(before MachineCPU) float64 {
	if m.Total == before.Total {
		return 0
	}
	return (m.Busy - before.Busy) / (m.Total - before.Total)
}

// SumCounters reads the Prometheus metrics at url and returns the sum of the
// counters called name that have any label with the given value. It returns false
// if there is no such counter or the metrics cannot be read.
func SumCounters(url, name, value string) (sum float64, found bool) {
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
