package watcher

import (
	"sync"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/fleet/messenger"
)

const (
	// pieceBytes is the size of a piece. The sender and the receiver wait for feedTimeout
	// for each one: an instance that sends to 32 others over a link of 10 Mbit/s takes
	// 0.21 s to send one to each.
	pieceBytes = 8 << 10
	// maxPiecesBytes bounds the records that are received in pieces, before and after they
	// are inflated. A configuration of 1 MiB and 2,000 backend servers with records of
	// 4 KiB take 9 MiB.
	maxPiecesBytes = 16 << 20
)

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
	packed, err := messenger.Deflate(&messenger.Records{Records: records}, maxPiecesBytes)
	if err != nil {
		return nil, errors.Wrap(err, "records")
	}
	p.of, p.packed = c, packed
	return packed, nil
}

// unpackRecords returns the records in packed, which pack returned.
func unpackRecords(packed []byte) ([]*messenger.Record, error) {
	var m messenger.Records
	if err := messenger.Inflate(packed, &m, maxPiecesBytes); err != nil {
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
