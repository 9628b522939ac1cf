package answerer

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"sardinelever.example/sardinelever/internal/call/classifier"
	"sardinelever.example/sardinelever/internal/call/sender"
	"sardinelever.example/sardinelever/internal/call/translator"
	"sardinelever.example/sardinelever/internal/route/mapper"
)

// Answerer answers callers; the zero value names no instance and speaks the product's own form.
type Answerer struct {
	Instance string
	Dialect  translator.Dialect // nil means translator.Native.
}

func (a *Answerer) dialect() translator.Dialect {
	if a.Dialect == nil {
		return translator.Native{}
	}
	return a.Dialect
}

// Signals returns what the header of resp says of the backend server.
func (a *Answerer) Signals(resp *http.Response) translator.Signals {
	return a.dialect().Signals(resp.StatusCode, resp.Header)
}

// Classify finds rule and service of a call that arrives at now.
func (a *Answerer) Classify(m *mapper.Map, r *http.Request, now time.Time) (*classifier.Call, error) {
	return classifier.Classify(m, a.dialect(), r, now)
}

// Copy writes the answer of a backend server to w and closes its body. A
// status of 500 and above is marked as the outcome failed. When the answer is
// cut off, Copy aborts the caller's connection with a panic of
// http.ErrAbortHandler, so that the caller does not take the part for the whole.
func (a *Answerer) Copy(w http.ResponseWriter, resp *http.Response) {
	a.dialect().Mark(resp.StatusCode, resp.Header, a.Instance)
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
	if err := copyBody(w, resp); err != nil {
		panic(http.ErrAbortHandler)
	}
	for name, values := range resp.Trailer {
		if !slices.Contains(announced, name) {
			name = http.TrailerPrefix + name
		}
		w.Header()[name] = values
	}
}

const copyBufferBytes = 32 << 10

// copyBody copies the body. An answer of unknown length may be a stream of
// events, so each part of it is sent on at once.
func copyBody(w http.ResponseWriter, resp *http.Response) error {
	if resp.ContentLength >= 0 {
		_, err := io.Copy(w, resp.Body)
		return err
	}
	c := http.NewResponseController(w)
	_ = c.Flush() // The header of a stream is sent before its first part.
	buffer := make([]byte, copyBufferBytes)
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
type Report = translator.Report

// Report tells the caller that the call has no answer, and why.
func (a *Answerer) Report(w http.ResponseWriter, r Report) {
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("X-Content-Type-Options", "nosniff")
	text := fmt.Sprintf("%s: %s", outcomeTexts[r.Outcome], r.Reason)
	if r.Detail != "" {
		text += ": " + r.Detail
	}
	text += "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(a.dialect().Report(h, r, a.Instance))
	_, _ = io.WriteString(w, text)
}

var outcomeTexts = map[sender.Outcome]string{
	sender.Rejected: "The call was not run",
	sender.Unknown:  "The call may have run",
	sender.Failed:   "The call ran and failed",
}
