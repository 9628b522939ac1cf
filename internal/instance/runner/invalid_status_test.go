package runner_test

import (
	"net/http"
	"strings"
	"testing"
)

// TestInvalidStatus guards against a backend server whose responses have no valid status
// and whose callers get that status, or a closed connection, instead of an outcome.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			s := &rawServer{start: "HTTP/1.1 " + status + " X\r\nContent-Length: 5\r\n\r\nwrong", reset: true}
			d := startRawDeployment(t, s)
			got := d.sendCall(t.Context(), http.MethodPost, "/s/x", "body", "2000")
			if !strings.HasPrefix(got, "502 unknown") {
				t.Errorf("got %q, want 502 unknown", got)
			}
		})
	}
}
