package responder_test

import (
	"bytes"
	"io"
	"math/rand/v2"
	"sync/atomic"
	"testing"

	"sardinelever.example/sardinelever/internal/call/responder"
)

// answerSource is the body of a response of the given size. It counts what was read.
type answerSource struct {
	data []byte
	read atomic.Int64
}

func (s *answerSource) Read(p []byte) (int, error) {
	at := int(s.read.Load())
	if at == len(s.data) {
		return 0, io.EOF
	}
	n := copy(p[:min(len(p), 1+rand.IntN(20000))], s.data[at:])
	s.read.Add(int64(n))
	return n, nil
}

func (s *answerSource) Close() error { return nil }

func newAnswer(size int) *answerSource {
	s := &answerSource{data: make([]byte, size)}
	for i := range s.data {
		s.data[i] = byte(rand.Uint32())
	}
	return s
}

// TestAnswerBufferTakesWholeAnswer guards against an answer within the limit whose slot is
// held until a slow caller has read it, and against changed bytes and held ones.
func TestAnswerBufferTakesWholeAnswer(t *testing.T) {
	for _, size := range []int{1, 32 << 10, 100000, 200000} {
		source, ended, held := newAnswer(size), make(chan bool), atomic.Int64{}
		b := &responder.AnswerBuffer{
			Source: source, Limit: 256 << 10, OnEnd: func() { close(ended) }, Hold: func(n int) { held.Add(int64(n)) },
		}
		first := make([]byte, 1)
		if _, err := io.ReadFull(b, first); err != nil {
			t.Fatal(err)
		}
		<-ended // The caller has read one byte.
		rest, err := io.ReadAll(b)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(append(first, rest...), source.data) {
			t.Errorf("got another body than that of %d bytes that was sent", size)
		}
		_ = b.Close()
		if got := held.Load(); got != 0 {
			t.Errorf("got %d bytes held at the end, want 0", got)
		}
	}
}

// TestAnswerBufferStopsReading guards against an answer that is read without bound although
// its caller does not take it, and against a Close that does not end.
func TestAnswerBufferStopsReading(t *testing.T) {
	const limit = 64 << 10
	source, full := newAnswer(1<<20), make(chan bool, 1)
	var held atomic.Int64
	b := &responder.AnswerBuffer{Source: source, Limit: limit, Hold: func(n int) {
		if held.Add(int64(n)) == limit {
			full <- true
		}
	}}
	if _, err := b.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	<-full
	_ = b.Close()
	if got := source.read.Load(); got > limit {
		t.Errorf("got %d bytes read from the backend server, want at most %d", got, limit)
	}
	if got := held.Load(); got != 0 {
		t.Errorf("got %d bytes held after Close, want 0", got)
	}
}
