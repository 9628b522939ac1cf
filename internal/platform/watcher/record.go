package watcher

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/platform/reader"
)

// ErrCompacted reports that the changes after a revision are no longer known.
var ErrCompacted = errors.New("changes are no longer known")

// Record is a published record.
type Record struct {
	Key      string
	Value    []byte
	Revision uint64 // Revision of its last change.
	Deleted  bool
}

// Batch is a set of records and the revision up to which it tells all changes.
type Batch struct {
	Records []Record
	At      uint64
}

// Store is a platform's store.
type Store interface {
	// Range returns all records. A stale answer is cheaper and may be seconds old.
	Range(ctx context.Context, stale bool) (Batch, error)
	// Watch returns the changes after a revision as soon as there are any, an
	// empty batch after wait, or ErrCompacted.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Batch, error)
}

// Decoder tells what a record says.
type Decoder interface {
	// Bundle returns the text of the bundle in r, nil when r holds none.
	Bundle(r Record) ([]byte, error)
	// Entry returns the backend server in r; ok is false when r names none.
	Entry(r Record) (e reader.Entry, ok bool, err error)
}
