package answerer

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"sardinelever.example/sardinelever/internal/call/sender"
)

// Copy writes resp to w and closes its body. When the answer is cut off it
// aborts the caller's connection so that the cut is visible.
func Copy(w http.ResponseWriter, resp *http.Response) {
	defer func() { _ = resp.Body.Close() }()
	for _, h := range []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Upgrade"} {
		resp.Header.Del(h)
	}
	maps.Copy(w.Header(), resp.Header)
	for name := range resp.Trailer {
		w.Header().Add("Trailer", name)
	}
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	maps.Copy(w.Header(), resp.Trailer)
}

// Report tells the caller that the call has no answer, and why. After spreads
// the next tries of callers; it is at least a second in the header.
func Report(w http.ResponseWriter, o sender.Outcome, status int, reason string, after time.Duration) {
	w.Header().Set("Sardine-Outcome", o.String())
	w.Header().Set("Sardine-Reason", reason)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if o == sender.Rejected && status != http.StatusBadRequest {
		spread := after + rand.N(after+time.Second)
		w.Header().Set("Retry-After", strconv.Itoa(1+int(spread.Seconds())))
	}
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, "%s: %s\n", text[o], reason)
}

var text = map[sender.Outcome]string{
	sender.Rejected: "The call was not run",
	sender.Unknown:  "The call may have run",
	sender.Failed:   "The call ran and failed",
}
