package runner_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"sardinelever.example/sardinelever/internal/call/sender"
	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/platform/reader"
	"sardinelever.example/sardinelever/internal/route/withholder"
)

// slowReader is a caller that reads the first bytes of an answer and then no more until
// its call is over.
type slowReader struct {
	url  string
	done *sync.WaitGroup
}

func (s *slowReader) run(ctx context.Context) {
	defer s.done.Done()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, s.url, nil)
	if err != nil {
		return
	}
	r.Header.Set("Sardine-Deadline", "2000")
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.CopyN(io.Discard, resp.Body, 100)
	<-ctx.Done()
}

// TestEndlessResponsesAtOnce guards against an instance that runs out of memory, and takes
// the calls of other callers with it, because faulty backend servers send bytes without end
// to many calls and probes at once while their callers do not read.
func TestEndlessResponsesAtOnce(t *testing.T) {
	const callsPerServer = 8
	const memoryLimit = 7 * 184 << 20 / 10 // What the smallest instances, with 184 MB, set as their limit.
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(memoryLimit))
	d := &deployment{t: t, arrived: make(chan bool, 100), cancelled: make(chan bool, 100)}
	var entries []reader.Entry
	bundle := &parser.Bundle{Version: 1}
	add := func(service string, address net.Addr) {
		entries = append(entries, reader.Entry{Name: service, Address: address.(*net.TCPAddr).AddrPort(), Zone: "a", Region: "home", Service: service})
		bundle.Services = append(bundle.Services, parser.Service{
			Name: service, Slots: 50, Probe: parser.Probe{Path: "/load"}, Routes: []parser.Route{{Path: "/", Idempotent: true}},
		})
	}
	for i, e := range endlessResponses {
		s := &rawServer{start: e.start, repeat: e.repeat}
		startRawServer(t, s)
		add(fmt.Sprintf("faulty%02d", i), s.Addr())
	}
	good := &http.Server{Handler: d}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go (&goodServer{good, l}).run()
	defer func() { _ = good.Close() }()
	add("good", l.Addr())
	d.platform.SetList(entries)
	text, err := parser.FormatBundle(bundle)
	if err != nil {
		t.Fatal(err)
	}
	d.platform.PublishBundle(text)
	d.startInstance()
	d.url = strings.TrimSuffix(d.url, "/s")
	h := &heapWatcher{done: make(chan bool), stopped: make(chan bool)}
	go h.run()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	var callers sync.WaitGroup
	for i := range endlessResponses {
		for range callsPerServer {
			callers.Add(1)
			go (&slowReader{fmt.Sprintf("%s/faulty%02d/echo", d.url, i), &callers}).run(ctx)
		}
	}
	for ctx.Err() == nil {
		if got := d.sendCall(t.Context(), http.MethodPost, "/good/echo", "b", "5000"); got != "200 b" {
			t.Fatalf("got %q from a sound backend server, want 200 b", got)
		}
	}
	callers.Wait()
	close(h.done)
	<-h.stopped
	if h.peak > memoryLimit {
		t.Errorf("got a heap of %d MB, want at most %d", h.peak>>20, memoryLimit>>20)
	}
}

// goodServer is a sound backend server.
type goodServer struct {
	*http.Server
	listener net.Listener
}

func (g *goodServer) run() { _ = g.Serve(g.listener) }

// TestEndlessProbe guards against a probe that keeps what a faulty backend server sends
// without end, or that goes on after its deadline.
func TestEndlessProbe(t *testing.T) {
	const memoryLimit = 7 * 184 << 20 / 10
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(memoryLimit))
	for _, e := range endlessResponses {
		t.Run(e.name, func(t *testing.T) {
			s := &rawServer{start: e.start, repeat: e.repeat}
			startRawServer(t, s)
			h := &heapWatcher{done: make(chan bool), stopped: make(chan bool)}
			go h.run()
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()
			var probes sender.Sender
			_, _ = probes.ProbeServer(ctx, s.Addr().(*net.TCPAddr).AddrPort(), withholder.Lifetime{}, "/load", 10)
			select {
			case <-s.closed:
			case <-time.After(20 * time.Second):
				t.Error("got a connection to the backend server that is still open, want it closed")
			}
			close(h.done)
			<-h.stopped
			if h.peak > memoryLimit {
				t.Errorf("got a heap of %d MB, want at most %d", h.peak>>20, memoryLimit>>20)
			}
		})
	}
}
