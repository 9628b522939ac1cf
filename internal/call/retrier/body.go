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

var errReplaced = errors.New("the body is read by a later attempt")

// Body is the body of a call; it keeps what was read, up to MaxReplay bytes,
// so that a later attempt can read it again.
type Body struct {
	Source io.Reader

	mu      sync.Mutex // Guards the fields below, but not for the time of a read from Source.
	current *bodyReader
	lost    bool // More than MaxReplay bytes were read.

	ended atomic.Bool // Source is at its end.

	reading sync.Mutex // Held while Source is read and kept changes.
	kept    []byte
	err     error // What Source returned at its end.
}

// Next returns a reader of the whole body; all earlier readers then fail. It
// returns false when a part of the body is no longer kept.
func (b *Body) Next() (io.ReadCloser, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lost && b.current != nil {
		return nil, false
	}
	b.current = &bodyReader{body: b}
	return b.current, true
}

// Whole reports whether Next can return another reader.
func (b *Body) Whole() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.lost
}

// Ended reports whether the source was read to its end.
func (b *Body) Ended() bool { return b.Source == http.NoBody || b.ended.Load() }

type bodyReader struct {
	body *Body
	at   int
}

// Read reads what earlier readers read, then from the source. A read by an
// earlier reader that still waits for the source keeps its bytes for this one.
func (r *bodyReader) Read(p []byte) (int, error) {
	b := r.body
	b.reading.Lock()
	defer b.reading.Unlock()
	if !b.mayRead(r) {
		return 0, errReplaced
	}
	if r.at < len(b.kept) {
		n := copy(p, b.kept[r.at:])
		r.at += n
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	return r.source(p)
}

func (r *bodyReader) source(p []byte) (int, error) {
	b := r.body
	left := MaxReplay - len(b.kept)
	if left == 0 {
		if !b.lose(r) {
			return 0, errReplaced
		}
		n, err := b.Source.Read(p)
		b.ended.Store(err == io.EOF)
		return n, err
	}
	n, err := b.Source.Read(p[:min(len(p), left)])
	b.kept = append(b.kept, p[:n]...)
	r.at += n
	if err != nil {
		b.err = err
		b.ended.Store(err == io.EOF)
	}
	if !b.mayRead(r) {
		return 0, errReplaced
	}
	return n, err
}

// Close ends the reader; the source stays open for later ones.
func (r *bodyReader) Close() error { return nil }

func (b *Body) mayRead(r *bodyReader) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current == r
}

// lose notes that the next bytes will not be kept.
func (b *Body) lose(r *bodyReader) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != r {
		return false
	}
	b.lost = true
	return true
}
