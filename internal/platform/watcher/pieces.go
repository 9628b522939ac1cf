package watcher

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"sardinelever.example/sardinelever/internal/fleet/messenger"
)

const (
	// maxPlainBytes is the size of the records that are sent inside their message.
	maxPlainBytes = 32 << 10
	// pieceBytes is the size of a piece. The sender and the receiver wait for feedTimeout
	// for each one: an instance that sends to 32 others over a link of 10 Mbit/s takes
	// 0.21 s to send one to each.
	pieceBytes = 8 << 10
	// maxPiecesBytes bounds the records that are received in pieces, before and after they
	// are inflated. A configuration of 1 MiB and 2,000 backend servers with records of
	// 4 KiB take 9 MiB.
	maxPiecesBytes = 16 << 20
)

// errTooManyRecords reports records of more than maxPiecesBytes.
var errTooManyRecords = errors.New("records are too large for a feed")

// contents identifies the records of a message of a feed. Those of two messages with the
// same contents are equal.
type contents struct {
	after    Position // Position after which the records changed; zero if sequence or full is set.
	sequence uint64   // Number of the change after which the records changed; 0 if after is set.
	last     uint64   // Number of the last change.
	at       Position // Position that followers are told.
	full     bool
}

// recordPacker packs records that are sent in pieces. It keeps the last result, because
// most followers lack the same records.
type recordPacker struct {
	mu     sync.Mutex
	of     contents
	packed []byte
}

// pack returns the deflated form of records, which are those of c.
func (p *recordPacker) pack(c contents, records []*messenger.Record) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.packed != nil && p.of == c {
		return p.packed, nil
	}
	text, err := proto.Marshal(&messenger.Records{Records: records})
	if err != nil {
		return nil, errors.Wrap(err, "records")
	}
	if len(text) > maxPiecesBytes {
		return nil, errors.Wrapf(errTooManyRecords, "%d bytes, at most %d", len(text), maxPiecesBytes)
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "records")
	}
	_, _ = w.Write(text) // A bytes.Buffer takes all that is written.
	_ = w.Close()
	p.of, p.packed = c, b.Bytes()
	return p.packed, nil
}

// unpackRecords returns the records in packed, which pack returned.
func unpackRecords(packed []byte) ([]*messenger.Record, error) {
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxPiecesBytes+1))
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "records")
	case len(text) > maxPiecesBytes:
		return nil, errTooManyRecords
	}
	var m messenger.Records
	if err := proto.Unmarshal(text, &m); err != nil {
		return nil, errors.Wrap(err, "records")
	}
	return m.GetRecords(), nil
}

// recordsSize returns the size of the keys and values of records.
func recordsSize(records []*messenger.Record) (n int) {
	for _, r := range records {
		n += len(r.GetKey()) + len(r.GetValue())
	}
	return n
}
