package sampler_test

import (
	"net/http"
	"net/http/httptest"
	"os"
	"testing"

	"sardinelever.example/sardinelever/internal/load/sampler"
)

const metricsText = `# TYPE bytes_total counter
bytes_total{direction="in",kind="control"} 5
bytes_total{direction="out",kind="control"} 7
bytes_total{direction="in",kind="grant"} 100
`

type metricsHandler struct{}

func (metricsHandler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte(metricsText))
}

// TestCounterSum guards against a sum that includes counters with another label
// value, and against a missing metric that is reported as zero.
func TestCounterSum(t *testing.T) {
	s := httptest.NewServer(metricsHandler{})
	defer s.Close()
	if got, ok := sampler.SumCounters(s.URL, "bytes_total", "control"); got != 12 || !ok {
		t.Errorf("got %v, %v, want 12, true", got, ok)
	}
	if got, ok := sampler.SumCounters(s.URL, "other_total", "control"); ok {
		t.Errorf("got %v for an unknown metric, want none", got)
	}
}

// TestUsageIsPositive guards against readings of processor time and memory that
// are always zero.
func TestUsageIsPositive(t *testing.T) {
	s, err := sampler.ReadProcessUsage(os.Getpid())
	if err != nil || s.Memory <= 0 {
		t.Errorf("got %+v, %v, want memory in use", s, err)
	}
	if m := sampler.ReadMachineCPU(); m.Total <= 0 || m.Busy > m.Total {
		t.Errorf("got %+v, want busy time within the total", m)
	}
}
