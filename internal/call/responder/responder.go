package responder

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
	"sardinelever.example/sardinelever/internal/route/router"
)

// Responder writes responses to callers. The zero value uses translator.Native and
// does not name the instance.
type Responder struct {
	Instance string             // Name of this instance in responses; may be empty.
	Dialect  translator.Dialect // nil means translator.Native.
}

func (re *Responder) dialect() translator.Dialect {
	if re.Dialect == nil {
		return translator.Native{}
	}
	return re.Dialect
}

// ParseResponse returns what the status and the header of resp say about the
// response and the backend server.
func (re *Responder) ParseResponse(resp *http.Response) translator.ResponseMetadata {
	return re.dialect().ParseResponse(resp.StatusCode, resp.Header)
}

// ClassifyRequest calls classifier.ClassifyRequest with the dialect of re; now is
// the time of arrival of r.
func (re *Responder) ClassifyRequest(table *router.RoutingTable, r *http.Request, now time.Time) (*classifier.Call, error) {
	return classifier.ClassifyRequest(table, re.dialect(), r, now)
}

// RequestID returns the caller's name of r, or "" if it has none. Unlike
// ClassifyRequest, it also does so for a request that no service matches.
func (re *Responder) RequestID(r *http.Request) string {
	metadata, err := re.dialect().ParseRequest(r)
	if err != nil {
		return ""
	}
	return metadata.RequestID
}

// CopyResponse writes the response of a backend server to r to w and closes its
// body. It lets the dialect set the headers for the caller; translator.Native marks
// a status of 500 and above with the outcome failed. When the body breaks off,
// CopyResponse panics with http.ErrAbortHandler, which aborts the caller's
// connection, so that the caller does not take the part for the complete response.
func (re *Responder) CopyResponse(w http.ResponseWriter, r *http.Request, resp *http.Response) {
	re.dialect().SetResponseHeaders(resp.StatusCode, resp.Header, re.Instance)
	RelayResponse(w, r, resp)
}

// RelayResponse is CopyResponse for a response whose headers for the caller were
// set by another instance.
func RelayResponse(w http.ResponseWriter, r *http.Request, resp *http.Response) {
	defer func() { _ = resp.Body.Close() }()
	sender.RemoveHopByHopHeaders(resp.Header)
	maps.Copy(w.Header(), resp.Header)
	announced := slices.Sorted(maps.Keys(resp.Trailer))
	for _, name := range announced {
		w.Header().Add("Trailer", name)
	}
	w.WriteHeader(resp.StatusCode)
	if err := copyBody(w, resp); err != nil {
		abortResponse(w, r)
	}
	for name, values := range resp.Trailer {
		if !slices.Contains(announced, name) {
			name = http.TrailerPrefix + name
		}
		w.Header()[name] = values
	}
}

// abortResponse aborts the connection of the caller of r. HTTP/1.0 has no chunks:
// the end of the connection may end the body there, so only a reset shows that the
// response is not complete.
func abortResponse(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		resetConn(w)
	}
	panic(http.ErrAbortHandler)
}

// resetConn resets the connection of w.
func resetConn(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if c, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = c.SetLinger(0) // Close then sends a reset.
	}
	_ = conn.Close()
}

const copyBufferBytes = 32 << 10

// copyBody copies the body. A response of unknown length may be a stream of
// events, so it is flushed after each read.
func copyBody(w http.ResponseWriter, resp *http.Response) error {
	if resp.ContentLength >= 0 {
		_, err := io.Copy(w, resp.Body)
		return err
	}
	c := http.NewResponseController(w)
	_ = c.Flush() // Sends the header before the first part of the body arrives.
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

// WriteInformational writes a 1xx response to the caller. Its headers do not
// become part of the final response.
func WriteInformational(w http.ResponseWriter, status int, h http.Header) {
	before := maps.Clone(w.Header())
	maps.Copy(w.Header(), h)
	w.WriteHeader(status)
	clear(w.Header())
	maps.Copy(w.Header(), before)
}

// ErrorReport is what a caller is told about a call without a response.
type ErrorReport = translator.ErrorReport

// WriteErrorReport writes the response to a call that has no response of a backend
// server: its outcome, reason and detail.
func (re *Responder) WriteErrorReport(w http.ResponseWriter, r ErrorReport) {
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("X-Content-Type-Options", "nosniff")
	text := fmt.Sprintf("%s: %s", outcomeTexts[r.Outcome], r.Reason)
	if r.Detail != "" {
		text += ": " + r.Detail
	}
	text += "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(re.dialect().SetReportHeaders(h, r, re.Instance))
	_, _ = io.WriteString(w, text)
}

// outcomeTexts holds the first part of the text of an ErrorReport.
var outcomeTexts = map[sender.Outcome]string{
	sender.Rejected: "The call was not run",
	sender.Unknown:  "The call may have run",
	sender.Failed:   "The call ran and failed",
}
