package allocator

import (
	"bufio"
	"io"
	"sync"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/fleet/messenger"
)

// ErrPeerNotReading reports that the peer does not read its grant stream.
var ErrPeerNotReading = errors.New("grant stream: peer does not read its messages")

// maxQueuedMessages limits the messages that wait to be written to one stream.
const maxQueuedMessages = 1 << 16

// Outbox queues the messages of a grant stream and writes them in batches, so
// that messages queued at about the same time share one write.
type Outbox struct {
	mu      sync.Mutex
	changed sync.Cond
	queued  []*messenger.Grant
	err     error
}

// Enqueue queues m. It never blocks; the stream ends with ErrPeerNotReading if too
// many messages are queued.
func (o *Outbox) Enqueue(m *messenger.Grant) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err != nil {
		return
	}
	if len(o.queued) >= maxQueuedMessages {
		o.stop(ErrPeerNotReading)
		return
	}
	o.queued = append(o.queued, m)
	o.signalChange()
}

// Close makes WriteMessages return io.EOF and discards the queued messages.
func (o *Outbox) Close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stop(io.EOF)
}

func (o *Outbox) stop(err error) {
	if o.err == nil {
		o.err, o.queued = err, nil
	}
	o.signalChange()
}

func (o *Outbox) signalChange() {
	if o.changed.L == nil {
		o.changed.L = &o.mu
	}
	o.changed.Signal()
}

// WriteMessages writes the queued messages to w until Close is called or an error
// occurs, and returns the error.
func (o *Outbox) WriteMessages(w io.Writer) error {
	b := bufio.NewWriterSize(w, 32<<10)
	var batch []*messenger.Grant
	for {
		var err error
		if batch, err = o.takeBatch(batch[:0]); err != nil {
			return err
		}
		for _, m := range batch {
			if err := messenger.WriteMessage(b, m); err != nil {
				return err
			}
		}
		if err := b.Flush(); err != nil {
			return errors.Wrap(err, "write grant stream")
		}
	}
}

// takeBatch waits for queued messages and returns them. The memory of reusable,
// an empty slice, holds the messages that are queued next.
func (o *Outbox) takeBatch(reusable []*messenger.Grant) ([]*messenger.Grant, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.changed.L == nil {
		o.changed.L = &o.mu
	}
	for len(o.queued) == 0 && o.err == nil {
		o.changed.Wait()
	}
	if o.err != nil {
		return nil, o.err
	}
	batch := o.queued
	o.queued = reusable
	return batch, nil
}
