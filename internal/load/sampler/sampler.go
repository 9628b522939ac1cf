package sampler

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// tick is the unit of times in /proc, fixed at 100 Hz for user space.
const tick = 10 * time.Millisecond

// Sample is the use of processor and memory by one process so far.
type Sample struct {
	CPU    time.Duration
	Memory int64 // Resident bytes.
}

// Process reads the sample of process pid.
func Process(pid int) (Sample, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Sample{}, errors.Wrap(err, "process")
	}
	// The command name in parentheses may hold spaces; the state follows it.
	_, rest, _ := strings.Cut(string(stat), ") ")
	f := strings.Fields(rest)
	if len(f) < 22 {
		return Sample{}, errors.Errorf("process %d: stat has %d fields", pid, len(f))
	}
	pages, _ := strconv.ParseInt(f[21], 10, 64)
	return Sample{CPU: ticks(f[11]) + ticks(f[12]), Memory: pages * int64(os.Getpagesize())}, nil
}

// Machine is the processor time of all cores so far.
type Machine struct{ Busy, Total time.Duration }

// ReadMachine reads the processor time of the machine.
func ReadMachine() Machine {
	text, _ := os.ReadFile("/proc/stat")
	line, _, _ := strings.Cut(string(text), "\n")
	var m Machine
	for i, v := range strings.Fields(line) {
		// Fields 4 and 5 are idle and waiting for disks; 9 and 10 repeat user time.
		if i == 0 || i > 8 {
			continue
		}
		m.Total += ticks(v)
		if i != 4 && i != 5 {
			m.Busy += ticks(v)
		}
	}
	return m
}

// Share returns the share of all cores that was busy from before until m.
func (m Machine) Share(before Machine) float64 {
	if m.Total == before.Total {
		return 0
	}
	return float64(m.Busy-before.Busy) / float64(m.Total-before.Total)
}

func ticks(field string) time.Duration {
	n, _ := strconv.ParseInt(field, 10, 64)
	return time.Duration(n) * tick
}

// Metric sums all samples at url whose name with labels contains each of words.
// It returns false when there is none.
func Metric(url string, words ...string) (float64, bool) {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(url)
	if err != nil {
		return 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	sum, found := 0.0, false
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		name, value, ok := cutLast(lines.Text())
		v, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil || !containsAll(name, words) {
			continue
		}
		sum, found = sum+v, true
	}
	return sum, found
}

func cutLast(line string) (name, value string, ok bool) {
	i := strings.LastIndexByte(line, ' ')
	if i < 0 || strings.HasPrefix(line, "#") {
		return "", "", false
	}
	return line[:i], line[i+1:], true
}

func containsAll(name string, words []string) bool {
	for _, w := range words {
		if !strings.Contains(name, w) {
			return false
		}
	}
	return true
}
