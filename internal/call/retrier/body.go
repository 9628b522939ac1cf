package retrier

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// MaxReplayBytes is the size in bytes of the largest body that can be sent again.
const MaxReplayBytes = 64 << 10

var errReaderReplaced = errors.New("a later attempt has replaced this reader of the body")

// Body is the body of a call. It buffers the first MaxReplayBytes bytes read from
// Source, so that a later attempt can read them again.
type Body struct {
	Source io.Reader
	Hold   func(n int) // Called with the bytes by which the buffer has grown; nil means that they are not counted.

	mu        sync.Mutex // Guards current and truncated; not held during a read from Source.
	current   *bodyReader
	truncated bool // Bytes after the first MaxReplayBytes are not buffered.

	ended    atomic.Bool  // Source returned io.EOF.
	received atomic.Int64 // Bytes read from Source.

	readMu    sync.Mutex // Guards buffered and sourceErr; held during a read from Source.
	buffered  []byte
	sourceErr error // Error with which Source ended; later reads return it.
}

// NewReader returns a reader of the whole body; reads from all earlier readers
// then fail. It returns false when a part of the body is not buffered.
func (b *Body) NewReader() (io.ReadCloser, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.truncated && b.current != nil {
		return nil, false
	}
	b.current = &bodyReader{body: b}
	return b.current, true
}

// CanReplay reports whether NewReader can return another reader, that is, whether
// all bytes read so far are buffered.
func (b *Body) CanReplay() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.truncated
}

// Ended reports whether Source was read to its end.
func (b *Body) Ended() bool { return b.Source == http.NoBody || b.ended.Load() }

// ReceivedBytes returns the number of bytes read from Source.
func (b *Body) ReceivedBytes() int64 { return b.received.Load() }

// bodyReader reads a Body from its start.
type bodyReader struct {
	body   *Body
	offset int
}

// Read returns the buffered bytes first, then reads from the source. When an
// earlier reader is still blocked in a read from the source, the bytes of that
// read are buffered, and this reader returns them.
func (r *bodyReader) Read(p []byte) (int, error) {
	b := r.body
	b.readMu.Lock()
	defer b.readMu.Unlock()
	if !b.isCurrent(r) {
		return 0, errReaderReplaced
	}
	if r.offset < len(b.buffered) {
		n := copy(p, b.buffered[r.offset:])
		r.offset += n
		return n, nil
	}
	if b.sourceErr != nil {
		return 0, b.sourceErr
	}
	return r.readSource(p)
}

// readSource reads from the source and buffers the bytes while there is room.
func (r *bodyReader) readSource(p []byte) (int, error) {
	b := r.body
	remaining := MaxReplayBytes - len(b.buffered)
	if remaining == 0 {
		if !b.stopBuffering(r) {
			return 0, errReaderReplaced
		}
		n, err := b.Source.Read(p)
		b.received.Add(int64(n))
		b.ended.Store(err == io.EOF)
		return n, err
	}
	n, err := b.Source.Read(p[:min(len(p), remaining)])
	b.received.Add(int64(n))
	b.buffer(p[:n])
	r.offset += n
	if err != nil {
		b.sourceErr = err
		b.ended.Store(err == io.EOF)
	}
	if !b.isCurrent(r) {
		return 0, errReaderReplaced
	}
	return n, err
}

// minReadBytes is the least room for a read by ReadAhead.
const minReadBytes = 512

// ReadAhead reads from Source until n bytes are buffered, Source has ended, or stop is
// true after a read. It returns the error with which Source ended, nil for io.EOF. It may
// be called before the first reader is used.
func (b *Body) ReadAhead(n int, stop *atomic.Bool) error {
	for !stop.Load() {
		if done, err := b.readMore(min(n, MaxReplayBytes)); done {
			return err
		}
	}
	return nil
}

// readMore reads once and reports whether n bytes are buffered or Source has ended.
func (b *Body) readMore(n int) (done bool, err error) {
	b.readMu.Lock()
	defer b.readMu.Unlock()
	used := len(b.buffered)
	switch {
	case b.sourceErr == io.EOF:
		return true, nil
	case b.sourceErr != nil || used >= n:
		return true, b.sourceErr
	}
	if room := cap(b.buffered) - used; room < min(minReadBytes, n-used) {
		before := cap(b.buffered)
		b.buffered = slices.Grow(b.buffered, min(n, max(firstReadBytes, readGrowth*before))-used)
		b.hold(cap(b.buffered) - before)
	}
	got, err := b.Source.Read(b.buffered[used:min(cap(b.buffered), MaxReplayBytes)])
	b.buffered = b.buffered[:used+got]
	if err != nil {
		b.sourceErr = err
		b.ended.Store(err == io.EOF)
	}
	return false, nil
}

// The room for a longer body begins with firstReadBytes and grows by readGrowth, so that
// little is left to the garbage collector.
const firstReadBytes, readGrowth = 4 << 10, 4

func (b *Body) hold(n int) {
	if n > 0 && b.Hold != nil {
		b.Hold(n)
	}
}

// buffer appends p to the buffered bytes.
func (b *Body) buffer(p []byte) {
	before := cap(b.buffered)
	b.buffered = append(b.buffered, p...)
	b.hold(cap(b.buffered) - before)
}

// Close does nothing: the source stays open for later readers.
func (r *bodyReader) Close() error { return nil }

// isCurrent reports whether no later reader has replaced r.
func (b *Body) isCurrent(r *bodyReader) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current == r
}

// stopBuffering marks the body as truncated because the next bytes are not
// buffered. It returns false when a later reader has replaced r.
func (b *Body) stopBuffering(r *bodyReader) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != r {
		return false
	}
	b.truncated = true
	return true
}
