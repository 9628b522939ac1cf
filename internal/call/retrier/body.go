package retrier

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// MaxReplay is the largest body, in bytes, that can be sent again.
const MaxReplay = 64 << 10

var errReaderReplaced = errors.New("the body is read by a later attempt")

// Body is the body of a call; it keeps what was read, up to MaxReplay bytes,
// so that a later attempt can read it again.
type Body struct {
	Source io.Reader

	mu        sync.Mutex // Guards the fields below, but not for the time of a read from Source.
	current   *bodyReader
	truncated bool // More than MaxReplay bytes were read.

	ended atomic.Bool // Source is at its end.

	readMu    sync.Mutex // Held while Source is read and kept changes.
	buffered  []byte
	sourceErr error // What Source returned at its end.
}

// Next returns a reader of the whole body; all earlier readers then fail. It
// returns false when a part of the body is no longer kept.
func (b *Body) Next() (io.ReadCloser, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.truncated && b.current != nil {
		return nil, false
	}
	b.current = &bodyReader{body: b}
	return b.current, true
}

// Whole reports whether Next can return another reader.
func (b *Body) Whole() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.truncated
}

// Ended reports whether the source was read to its end.
func (b *Body) Ended() bool { return b.Source == http.NoBody || b.ended.Load() }

type bodyReader struct {
	body   *Body
	offset int
}

// Read reads what earlier readers read, then from the source. A read by an
// earlier reader that still waits for the source keeps its bytes for this one.
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

func (r *bodyReader) readSource(p []byte) (int, error) {
	b := r.body
	remaining := MaxReplay - len(b.buffered)
	if remaining == 0 {
		if !b.stopBuffering(r) {
			return 0, errReaderReplaced
		}
		n, err := b.Source.Read(p)
		b.ended.Store(err == io.EOF)
		return n, err
	}
	n, err := b.Source.Read(p[:min(len(p), remaining)])
	b.buffered = append(b.buffered, p[:n]...)
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

// Close ends the reader; the source stays open for later ones.
func (r *bodyReader) Close() error { return nil }

func (b *Body) isCurrent(r *bodyReader) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current == r
}

// stopBuffering notes that the next bytes will not be kept.
func (b *Body) stopBuffering(r *bodyReader) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != r {
		return false
	}
	b.truncated = true
	return true
}
