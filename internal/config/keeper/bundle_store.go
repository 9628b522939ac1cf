package keeper

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"sardinelever.example/sardinelever/internal/config/bundler"
	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/flow/buffer"
	"sardinelever.example/sardinelever/internal/operator/auditor"
)

// maxDecided is the largest number of refused, displaced and lost bundles whose sums
// are stored, so that a bundle that is offered again is neither checked nor audited
// again.
const maxDecided = 64

// maxAuditedNotes bounds the audit entries about the values of one bundle.
const maxAuditedNotes = 8

// RefusedBundle describes an invalid bundle that was offered.
type RefusedBundle struct {
	Time    time.Time       // Time of the offer.
	Version bundler.Version // Number is 0 if it cannot be read from the text.
	Source  string          // Source passed to OfferBundle.
	Reason  string          // Message of the parser, or the size that exceeds the limit.
}

// RefusedError reports that an offered bundle is invalid.
type RefusedError struct{ Bundle RefusedBundle }

// Error returns the version, source and reason of the refused bundle.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("bundle %v from %s is refused: %s", e.Bundle.Version, e.Bundle.Source, e.Bundle.Reason)
}

// Format is the format in which bundles are published.
type Format interface {
	// ParseBundle decodes and checks the text of a bundle and sets defaults. The result
	// depends on text alone.
	ParseBundle(text []byte) (*parser.Bundle, error)
	// ReadVersion returns the version number in text, which need not be a valid bundle; 0
	// if it cannot be read.
	ReadVersion(text []byte) uint64
}

// BundleStore stores the current bundle. The zero value has none. Its methods are safe
// for concurrent use; the exported fields are set before the first call.
type BundleStore struct {
	Audit  *auditor.Trail
	Format Format // nil means TOML.

	current     atomic.Pointer[versionedBundle]
	mu          sync.Mutex // Serializes offers; guards decided and subscribers.
	refused     buffer.RingBuffer[RefusedBundle]
	decided     map[uint64]*RefusedError // By sum; nil for a bundle that lost to another one of its version number.
	subscribers []chan struct{}          // Channels returned by SubscribeChanges.
}

// versionedBundle is a valid bundle with its text and sections. It is never modified.
type versionedBundle struct {
	bundle   *parser.Bundle
	version  bundler.Version
	text     []byte
	sections [][]byte
}

// OfferBundle makes the bundle with the given text the current one if it is
// valid and its version is higher than the current version, and reports whether
// it did. The source names the origin of the text in audit entries and errors. A
// bundle whose version is not higher is ignored without error. An invalid bundle
// leaves the current one unchanged; the error is a *RefusedError. Text must not
// be modified afterwards.
func (s *BundleStore) OfferBundle(text []byte, source string) (changed bool, err error) {
	sum := bundler.Sum(text)
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.current.Load()
	if old != nil && old.version.Sum == sum && len(old.text) == len(text) {
		return false, nil
	}
	if e, ok := s.decided[sum]; ok {
		if e == nil {
			return false, nil
		}
		return false, e
	}
	format := s.Format
	if format == nil {
		format = tomlFormat{}
	}
	b, err := format.ParseBundle(text)
	if err != nil {
		return false, s.refuseBundle(RefusedBundle{Time: time.Now(), Version: bundler.Version{Number: format.ReadVersion(text), Sum: sum}, Source: source, Reason: err.Error()})
	}
	v := bundler.Version{Number: b.Version, Sum: sum}
	if old != nil && v.Compare(old.version) <= 0 {
		if v.Number == old.version.Number {
			s.recordDecision(sum, nil)
			s.note(v, "lost against another bundle of its version, offered by "+source, v.String(), old.version.String())
		}
		return false, nil
	}
	s.acceptBundle(&versionedBundle{bundle: b, version: v, text: text, sections: bundler.SplitSections(text)}, source)
	return true, nil
}

// refuseBundle records and audits the invalid bundle r and returns the error for it.
func (s *BundleStore) refuseBundle(r RefusedBundle) error {
	e := &RefusedError{Bundle: r}
	s.recordDecision(r.Version.Sum, e)
	s.refused.Append(r)
	_, v := s.CurrentBundle()
	s.note(r.Version, "refused, offered by "+r.Source+": "+r.Reason, v.String(), v.String())
	return e
}

// recordDecision stores e, the result of offering the bundle with this sum. When
// maxDecided results are stored, all of them are dropped first.
func (s *BundleStore) recordDecision(sum uint64, e *RefusedError) {
	if s.decided == nil || len(s.decided) >= maxDecided {
		s.decided = make(map[uint64]*RefusedError)
	}
	s.decided[sum] = e
}

// acceptBundle makes next the current bundle, audits the change and notifies the
// subscribers.
func (s *BundleStore) acceptBundle(next *versionedBundle, source string) {
	before := "none"
	if old := s.current.Load(); old != nil {
		before = old.version.String()
		switch {
		case old.version.Number == next.version.Number:
			s.recordDecision(old.version.Sum, nil)
			s.note(old.version, "displaced by another bundle of its version", before, next.version.String())
		case next.bundle.Parent != old.version.Number:
			s.note(next.version, fmt.Sprintf("parent %d is not the version in force", next.bundle.Parent), before, next.version.String())
		}
	}
	s.current.Store(next)
	s.note(next.version, "accepted, offered by "+source, before, next.version.String())
	for _, n := range next.bundle.Notes[:min(len(next.bundle.Notes), maxAuditedNotes)] {
		s.note(next.version, "value replaced: "+n.String(), before, next.version.String())
	}
	for _, c := range s.subscribers {
		select {
		case c <- struct{}{}:
		default: // The channel still holds a value, which covers this change too.
		}
	}
}

// note adds an entry about the bundle of version v to the audit log; before and after
// are the current versions before and after the event.
func (s *BundleStore) note(v bundler.Version, cause, before, after string) {
	s.Audit.RecordChange(auditor.Change{Component: "config", Subject: "bundle " + v.String(), Cause: cause, Before: before, After: after})
}

// CurrentBundle returns the current bundle, which must not be modified, and its
// version. It returns nil and the zero version if there is none.
func (s *BundleStore) CurrentBundle() (*parser.Bundle, bundler.Version) {
	current := s.current.Load()
	if current == nil {
		return nil, bundler.Version{}
	}
	return current.bundle, current.version
}

// CurrentText returns the version and text of the current bundle, or the zero version
// and nil if there is none.
func (s *BundleStore) CurrentText() (bundler.Version, []byte) {
	current := s.current.Load()
	if current == nil {
		return bundler.Version{}, nil
	}
	return current.version, current.text
}

// CurrentSections returns the version and sections of the current bundle, as
// bundler.SplitSections returns them, or the zero version and nil if there is none.
func (s *BundleStore) CurrentSections() (bundler.Version, [][]byte) {
	current := s.current.Load()
	if current == nil {
		return bundler.Version{}, nil
	}
	return current.version, current.sections
}

// RefusedBundles returns the latest refused bundles, oldest first.
func (s *BundleStore) RefusedBundles() []RefusedBundle { return s.refused.Values() }

// SubscribeChanges returns a new channel that receives a value after the current bundle
// has changed. The channel buffers one value, which may stand for several changes; the
// receiver calls CurrentBundle to get the latest one.
func (s *BundleStore) SubscribeChanges() <-chan struct{} {
	c := make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, c)
	return c
}
