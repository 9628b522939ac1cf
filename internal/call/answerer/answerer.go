package answerer

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"sardinelever.example/sardinelever/internal/call/sender"
)

// Answerer answers callers; the zero value names no instance.
type Answerer struct {
	Instance string // Value of the Sardine-Instance header.
}

// signals are headers that a backend server sends to this instance only, and
// those that only an instance may set.
var signals = []string{
	"Sardine-Load", "Sardine-Drain", "Sardine-Refused", "Sardine-Outcome", "Sardine-Reason", "Sardine-Instance",
}

// Copy writes the answer of a backend server to w and closes its body. A
// status of 500 and above is marked as the outcome failed. When the answer is
// cut off, Copy aborts the caller's connection with a panic of
// http.ErrAbortHandler, so that the caller does not take the part for the whole.
func (a *Answerer) Copy(w http.ResponseWriter, resp *http.Response) {
	for _, name := range signals {
		resp.Header.Del(name)
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		resp.Header.Set("Sardine-Outcome", sender.Failed.String())
	}
	if a.Instance != "" {
		resp.Header.Set("Sardine-Instance", a.Instance)
	}
	Relay(w, resp)
}

// Relay is Copy for an answer that another instance has already marked.
func Relay(w http.ResponseWriter, resp *http.Response) {
	defer func() { _ = resp.Body.Close() }()
	sender.StripHop(resp.Header)
	maps.Copy(w.Header(), resp.Header)
	announced := slices.Sorted(maps.Keys(resp.Trailer))
	for _, name := range announced {
		w.Header().Add("Trailer", name)
	}
	w.WriteHeader(resp.StatusCode)
	if err := stream(w, resp); err != nil {
		panic(http.ErrAbortHandler)
	}
	for name, values := range resp.Trailer {
		if !slices.Contains(announced, name) {
			name = http.TrailerPrefix + name
		}
		w.Header()[name] = values
	}
}

const bufferSize = 32 << 10

// stream copies the body. An answer of unknown length may be a stream of
// events, so each part of it is sent on at once.
func stream(w http.ResponseWriter, resp *http.Response) error {
	if resp.ContentLength >= 0 {
		_, err := io.Copy(w, resp.Body)
		return err
	}
	c := http.NewResponseController(w)
	_ = c.Flush() // The header of a stream is sent before its first part.
	buffer := make([]byte, bufferSize)
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
			_ = c.Flush()
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// Inform passes a 1xx answer on to the caller; its headers are not kept for
// the final answer.
func Inform(w http.ResponseWriter, status int, h http.Header) {
	before := maps.Clone(w.Header())
	maps.Copy(w.Header(), h)
	w.WriteHeader(status)
	clear(w.Header())
	maps.Copy(w.Header(), before)
}

// Report is what a caller is told about a call that has no answer.
type Report struct {
	Outcome sender.Outcome
	Status  int
	Reason  string        // One word.
	Detail  string        // For people; may be empty.
	After   time.Duration // Time after which a rejected call has better chances.
}

// retries reports whether the caller may usefully send the same call again.
func (r *Report) retries() bool {
	return r.Outcome == sender.Rejected && r.Status >= http.StatusInternalServerError
}

// Report tells the caller that the call has no answer, and why. Retry-After is
// spread evenly over After to twice After plus a second, so that callers that
// were rejected together do not return together.
func (a *Answerer) Report(w http.ResponseWriter, r Report) {
	h := w.Header()
	h.Set("Sardine-Outcome", r.Outcome.String())
	h.Set("Sardine-Reason", r.Reason)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("X-Content-Type-Options", "nosniff")
	if a.Instance != "" {
		h.Set("Sardine-Instance", a.Instance)
	}
	if r.retries() {
		spread := r.After + rand.N(r.After+time.Second)
		h.Set("Retry-After", strconv.Itoa(1+int(spread.Seconds())))
	}
	w.WriteHeader(r.Status)
	text := fmt.Sprintf("%s: %s", sentences[r.Outcome], r.Reason)
	if r.Detail != "" {
		text += ": " + r.Detail
	}
	_, _ = fmt.Fprintln(w, text)
}

var sentences = map[sender.Outcome]string{
	sender.Rejected: "The call was not run",
	sender.Unknown:  "The call may have run",
	sender.Failed:   "The call ran and failed",
}
