package reader_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/platform/reader"
)

// cutPlatform is a platform that sends the first bytes of its response to each request.
type cutPlatform struct {
	net.Listener
	text string
}

func (p *cutPlatform) run() {
	for {
		c, err := p.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, p.text)
		}
		_ = c.Close()
	}
}

// TestCutPlatformResponse guards against a list or a bundle of which only a part arrived
// and that is used.
func TestCutPlatformResponse(t *testing.T) {
	const list, config = `{"time":"2026-12-05T20:00:00Z","servers":[]}`, "version = 1"
	const head = "HTTP/1.1 200 OK\r\nRevision: 12\r\n"
	for _, body := range []string{list, config} {
		for _, text := range []string{
			fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body),
			fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body),
		} {
			for n := range len(text) + 1 {
				checkCutResponse(t, text[:n], body, n == len(text))
			}
		}
	}
}

// checkCutResponse reads from a platform that responds with text, which is whole or cut.
func checkCutResponse(t *testing.T, text, body string, whole bool) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go (&cutPlatform{Listener: listener, text: text}).run()
	c := &reader.Client{BaseURL: "http://" + listener.Addr().String(), HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	if got, err := c.ReadConfig(t.Context(), 0, time.Second); (err == nil) != whole {
		t.Errorf("after %q: got bundle %+v and error %v, want an error only if it is cut", text, got, err)
	}
	// A list whose text is whole is used, also if the end of the response is missing.
	wantList := body[0] == '{' && strings.Contains(text, body)
	if got, err := c.ReadList(t.Context()); (err == nil) != wantList {
		t.Errorf("after %q: got list %+v and error %v, want an error only if it is cut", text, got, err)
	}
}
