package watcher

import (
	"cmp"
	"context"
	"time"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/platform/reader"
)

// ErrCompacted reports that the store no longer has all changes after a revision.
var ErrCompacted = errors.New("store has compacted the changes after the revision")

// Record is a record of the store, or its deletion.
type Record struct {
	Key      string
	Value    []byte
	Revision uint64 // Revision of its last change.
	Deleted  bool   // Set when the last change deleted the record.
	// OutlivesCopy is set when the store was restored from a copy that has an older state
	// of the record at the same revision.
	OutlivesCopy bool
}

// Batch is a set of records and the revision up to which the set is complete.
type Batch struct {
	Records  []Record
	After    uint64 // Revision after which the set has all changes; 0 if it has all records.
	Revision uint64
	Epoch    uint64 // Epoch of the store that the revision belongs to.
	Stale    bool   // The records may be older than the revision says.
}

// Position is a point in the changes of the store. The epoch rises each time that the
// store is restored from a copy: it then gives out revisions again that other changes
// had, so a revision has a meaning only in its epoch.
type Position struct{ Epoch, Revision uint64 }

// Compare returns -1 if p is before q, 0 if they are equal and 1 if p is after q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Epoch, q.Epoch), cmp.Compare(p.Revision, q.Revision))
}

// Page is a part of all records.
type Page struct {
	Batch
	Next string // Key after which the next page begins; empty at the end.
}

// Store reads the platform's store. The deadline of a context is that for the begin of the
// response.
type Store interface {
	// ReadPage returns the records whose keys follow after, or the first ones when
	// it is empty, as many as the store sends at once. With stale set the result is
	// cheaper for the store and may be seconds old.
	ReadPage(ctx context.Context, after string, stale bool) (Page, error)
	// Watch returns the changes after a revision as soon as there are any, or an
	// empty batch after wait. The error is ErrCompacted when the store no longer
	// has all of them.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Batch, error)
}

// Decoder decodes the values of records.
type Decoder interface {
	// BundleText returns the text of the configuration bundle in r, or nil when r holds
	// none. Whoever receives the bundles checks them.
	BundleText(r Record) []byte
	// DecodeEntry returns the backend server that r describes; ok is false when r
	// describes none.
	DecodeEntry(r Record) (e reader.Entry, ok bool, err error)
	// DecodeEvacuation returns the availability zone that r, an order of the operator,
	// evacuates; zone is empty when r is no such order.
	DecodeEvacuation(r Record) (zone string, err error)
	// CompareStates compares two states of one record by the counters that its writer
	// keeps in the value. It returns -1 if a is the earlier state, 1 if it is the later
	// one and 0 if the values do not tell.
	CompareStates(a, b Record) int
}
