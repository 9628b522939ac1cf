package main_test

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/standin/provisioner"
)

// talkativeServer is a backend server that sends more bytes than its response.
type talkativeServer struct{ net.Listener }

func (s talkativeServer) run() {
	for {
		c, err := s.Accept()
		if err != nil {
			return
		}
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"+strings.Repeat("more\r\n", 300))
		}
		_ = c.Close()
	}
}

// TestUnsolicitedResponseLine guards against a message of net/http that goes to the log of
// a process as plain text.
func TestUnsolicitedResponseLine(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go talkativeServer{listener}.run()
	d := new(deployment)
	d.start(t, time.Millisecond, provisioner.ServerGroup{Service: parser.Service{Name: "guidance", Slots: 2}, ServerCount: 1})
	entries := slices.Clone(d.testbed.ListEntries)
	for i := range entries {
		if entries[i].Service == "guidance" {
			entries[i].Address = listener.Addr().(*net.TCPAddr).AddrPort()
		}
	}
	d.testbed.Platform.SetList(entries)
	var text string
	for end := time.Now().Add(20 * time.Second); !strings.Contains(text, "Unsolicited response"); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("got no line for bytes after a response in %s", text)
		}
		if resp, err := http.Post(d.CallersURL()+"/guidance/book", "text/plain", strings.NewReader("order")); err == nil {
			_ = resp.Body.Close()
		}
		content, err := os.ReadFile(d.LogPath)
		if err != nil {
			t.Fatal(err)
		}
		text = string(content)
	}
	for line := range strings.Lines(text) {
		if !json.Valid([]byte(line)) && strings.HasSuffix(line, "\n") {
			t.Errorf("got line %.100q, want JSON", line)
		}
	}
}
