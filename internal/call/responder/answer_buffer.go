package responder

import (
	"io"
	"sync"
)

// answerChunkBytes is the size of a part of an AnswerBuffer.
const answerChunkBytes = 32 << 10

// minChunkSpace is the least room at the end of a part for which it is read into.
const minChunkSpace = 4 << 10

// answerChunks holds parts that are not in use, as pointers to arrays.
var answerChunks sync.Pool

// answerChunk is a part of an answer: the bytes from start to end of data.
type answerChunk struct {
	data       *[answerChunkBytes]byte
	start, end int
}

// AnswerBuffer reads the body of a response ahead of a caller that reads slowly, so that
// the backend server can hand it over. The exported fields are set before the first Read.
// Read and Close are called by one goroutine.
type AnswerBuffer struct {
	Source io.ReadCloser
	Limit  int         // Bytes that are held at most, but at least one part.
	Hold   func(n int) // Called when the buffer has grown by n bytes, or shrunk; nil means never.
	OnEnd  func()      // Called when Source has ended; nil means never.
	Cancel func()      // Makes a Read of Source that is in progress fail.

	mu      sync.Mutex
	changed *sync.Cond
	done    chan struct{} // Closed when run has ended; nil before the first Read.
	chunks  []*answerChunk
	err     error // Error with which Source ended.
	closed  bool
}

// Read returns the bytes that were read ahead, or waits for some.
func (b *AnswerBuffer) Read(p []byte) (int, error) {
	if b.done == nil {
		b.done, b.changed = make(chan struct{}), sync.NewCond(&b.mu)
		go b.run()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		for len(b.chunks) > 0 {
			c := b.chunks[0]
			if c.start < c.end {
				n := copy(p, c.data[c.start:c.end])
				c.start += n
				return n, nil
			}
			if len(b.chunks) == 1 && b.err == nil && answerChunkBytes-c.end >= minChunkSpace {
				break // It is still read into.
			}
			b.dropFirst()
		}
		if b.err != nil {
			return 0, b.err
		}
		b.changed.Wait()
	}
}

// dropFirst releases the first part, whose bytes were read.
func (b *AnswerBuffer) dropFirst() {
	answerChunks.Put(b.chunks[0].data)
	b.chunks = b.chunks[1:]
	b.hold(-answerChunkBytes)
	b.changed.Broadcast()
}

func (b *AnswerBuffer) hold(n int) {
	if b.Hold != nil {
		b.Hold(n)
	}
}

// run reads from Source until it ends or the buffer is closed.
func (b *AnswerBuffer) run() {
	defer close(b.done)
	for {
		c := b.nextChunk()
		if c == nil {
			return
		}
		n, err := b.Source.Read(c.data[c.end:])
		b.mu.Lock()
		c.end += n
		b.err = err
		b.changed.Broadcast()
		b.mu.Unlock()
		if err != nil {
			if b.OnEnd != nil {
				b.OnEnd()
			}
			return
		}
	}
}

// nextChunk returns a part with room, for which it waits while the buffer is full. It
// returns nil when the buffer is closed.
func (b *AnswerBuffer) nextChunk() *answerChunk {
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.closed {
		if n := len(b.chunks); n > 0 && answerChunkBytes-b.chunks[n-1].end >= minChunkSpace {
			return b.chunks[n-1]
		}
		if (len(b.chunks)+1)*answerChunkBytes <= max(b.Limit, answerChunkBytes) {
			data, ok := answerChunks.Get().(*[answerChunkBytes]byte)
			if !ok {
				data = new([answerChunkBytes]byte)
			}
			c := &answerChunk{data: data}
			b.chunks = append(b.chunks, c)
			b.hold(answerChunkBytes)
			return c
		}
		b.changed.Wait()
	}
	return nil
}

// Close ends reading from Source and closes it.
func (b *AnswerBuffer) Close() error {
	if b.done != nil {
		b.mu.Lock()
		b.closed = true
		b.changed.Broadcast()
		hasEnded := b.err != nil
		b.mu.Unlock()
		if !hasEnded && b.Cancel != nil {
			b.Cancel()
		}
		<-b.done
		b.mu.Lock()
		for len(b.chunks) > 0 {
			b.dropFirst()
		}
		b.mu.Unlock()
	}
	return b.Source.Close()
}
