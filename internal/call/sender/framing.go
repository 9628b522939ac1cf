package sender

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// roundTrip sends req on conn and returns the response. A response is none, and nothing in
// it is proof, if its status is not one of 100 to 599 (RFC 9110 section 15) or net/http does
// not know where its body ends.
func roundTrip(conn *pooledConn, req *http.Request) (*http.Response, error) {
	resp, err := conn.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	switch {
	case resp.StatusCode < 100 || resp.StatusCode > 599:
		err = errors.Errorf("the backend server answered with the invalid status %q", resp.Status)
	case conn.tracked.hasOldEncoding():
		err = errors.New("the backend server answered in HTTP/1.0 with a transfer encoding")
	default:
		err = checkFramingNames(resp.Header)
	}
	if err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// checkFramingNames returns an error if the name of a field that says where the body ends is
// followed by white space. net/http takes it for another field, so the body would seem to go
// on to the end of the connection (RFC 9112 section 5.1).
func checkFramingNames(h http.Header) error {
	for name := range h {
		trimmed := strings.TrimRight(name, " \t")
		if trimmed != name && (strings.EqualFold(trimmed, "Content-Length") || strings.EqualFold(trimmed, "Transfer-Encoding")) {
			return errors.Errorf("the backend server answered with the field name %q", name)
		}
	}
	return nil
}

// oldHead collects the head of a response of HTTP/1.0. net/http drops its transfer encoding
// and takes the encoded body up to the end of the connection for the body, so that a part
// of it looks whole. RFC 9112 section 6.1 calls such framing faulty.
type oldHead struct {
	text    []byte
	skipped bool // The response is of another version, or its head is complete.
}

const oldVersion = "HTTP/1.0"

// add adds the next bytes of the response.
func (h *oldHead) add(p []byte) {
	if h.skipped {
		return
	}
	if len(h.text) == 0 && len(p) >= len(oldVersion) && !bytes.HasPrefix(p, []byte(oldVersion)) {
		h.skipped = true // Nearly every response; it is not copied.
		return
	}
	h.text = append(h.text, p...)
	if n := min(len(h.text), len(oldVersion)); string(h.text[:n]) != oldVersion[:n] {
		h.text, h.skipped = nil, true
		return
	}
	if end := headEnd(h.text); end >= 0 {
		h.text, h.skipped = h.text[:end], true
	}
}

// headEnd returns the end of the last line before the first empty one, or -1 if there is none.
func headEnd(text []byte) int {
	for offset := 0; ; {
		i := bytes.IndexByte(text[offset:], '\n')
		if i < 0 {
			return -1
		}
		offset += i + 1
		if rest := text[offset:]; bytes.HasPrefix(rest, []byte("\n")) || bytes.HasPrefix(rest, []byte("\r\n")) {
			return offset
		}
	}
}

// hasEncoding reports whether the head has a transfer encoding.
func (h *oldHead) hasEncoding() bool {
	for line := range bytes.Lines(h.text) {
		name, _, found := bytes.Cut(line, []byte(":"))
		if found && strings.EqualFold(string(bytes.TrimSpace(name)), "Transfer-Encoding") {
			return true
		}
	}
	return false
}
