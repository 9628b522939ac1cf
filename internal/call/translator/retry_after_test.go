package translator_test

import (
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/call/translator"
)

// TestParseRetryAfter guards against invalid times that take a server out of use, and
// against times of other responses that count.
func TestParseRetryAfter(t *testing.T) {
	tests := []struct {
		status  int
		text    string
		want    time.Duration
		invalid string
	}{
		{503, "2", 2 * time.Second, ""},
		{503, "0.25", 250 * time.Millisecond, ""},
		{503, "86400", 24 * time.Hour, ""},
		{503, "0", 0, ""},
		{503, "", 0, ""},
		{503, "-1", 0, "-1"},
		{503, "-0", 0, "-0"},
		{503, "86400.1", 0, "86400.1"},
		{503, "1e300", 0, "1e300"},
		{503, "NaN", 0, "NaN"},
		{503, "Inf", 0, "Inf"},
		{503, "0x10", 0, "0x10"},
		{503, "1.2.3", 0, "1.2.3"},
		{503, ".", 0, "."},
		{503, "soon", 0, "soon"},
		{503, "Fri, 31 Dec 1999 23:59:59 GMT", 0, "Fri, 31 Dec 1999 23:59:59 GMT"},
		{429, "2", 0, ""},
		{200, "2", 0, ""},
	}
	for _, test := range tests {
		var m translator.ResponseMetadata
		m.ParseRetryAfter(test.status, test.text)
		if m.RetryAfter != test.want || m.InvalidRetryAfter != test.invalid {
			t.Errorf("%d %q: got %v, invalid %q, want %v, invalid %q", test.status, test.text, m.RetryAfter, m.InvalidRetryAfter, test.want, test.invalid)
		}
	}
}
