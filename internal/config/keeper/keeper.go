package keeper

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"sardinelever.example/sardinelever/internal/config/bundler"
	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/flow/ringer"
	"sardinelever.example/sardinelever/internal/operator/auditor"
)

// maxDecided bounds the sums of refused and displaced bundles that are
// remembered so that a repeated offer is neither checked nor audited again.
const maxDecided = 64

// Refused is a bundle that was not accepted.
type Refused struct {
	Time    time.Time
	Version bundler.Version // Number is 0 when the text does not tell it.
	Source  string
	Reason  string
}

// RefusedError is the error of an offer that is not a valid bundle.
type RefusedError struct{ Refused Refused }

// Error returns version, source and reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("bundle %v from %s is refused: %s", e.Refused.Version, e.Refused.Source, e.Refused.Reason)
}

// Keeper holds the bundle in force. Its methods are safe for concurrent use;
// the exported fields are set before the first call.
type Keeper struct {
	Audit *auditor.Auditor

	current     atomic.Pointer[versionedBundle]
	mu          sync.Mutex // Serializes offers.
	refused     ringer.Ring[Refused]
	decided     map[uint64]*RefusedError // By sum; nil values are bundles that lost against another of their version.
	subscribers []chan struct{}
}

// versionedBundle is the bundle in force; it is never modified.
type versionedBundle struct {
	bundle   *parser.Bundle
	version  bundler.Version
	text     []byte
	sections [][]byte
}

// Offer puts the bundle text into force when it is valid and higher than the
// one in force; source is recorded as its origin. A lower or equal bundle is
// ignored without error. The error is a *RefusedError and leaves the bundle
// in force as it is. Text must not be modified afterwards.
func (s *Keeper) Offer(text []byte, source string) (changed bool, err error) {
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
	b, err := parseBundle(text)
	if err != nil {
		return false, s.refuseBundle(Refused{Time: time.Now(), Version: bundler.Version{Number: readVersionNumber(text), Sum: sum}, Source: source, Reason: err.Error()})
	}
	v := bundler.Version{Number: b.Version, Sum: sum}
	if old != nil && v.Compare(old.version) <= 0 {
		if v.Number == old.version.Number {
			s.recordDecision(sum, nil)
			s.note(v, "lost against another bundle of its version, offered by "+source, v.String(), old.version.String())
		}
		return false, nil
	}
	s.acceptBundle(&versionedBundle{bundle: b, version: v, text: text, sections: bundler.Split(text)}, source)
	return true, nil
}

func parseBundle(text []byte) (*parser.Bundle, error) {
	if err := bundler.CheckSize(text); err != nil {
		return nil, err
	}
	return parser.ParseBundle("bundle", text)
}

func (s *Keeper) refuseBundle(r Refused) error {
	e := &RefusedError{Refused: r}
	s.recordDecision(r.Version.Sum, e)
	s.refused.Put(r)
	_, v := s.Current()
	s.note(r.Version, "refused, offered by "+r.Source+": "+r.Reason, v.String(), v.String())
	return e
}

// recordDecision marks a sum as already decided.
func (s *Keeper) recordDecision(sum uint64, e *RefusedError) {
	if s.decided == nil || len(s.decided) >= maxDecided {
		s.decided = make(map[uint64]*RefusedError)
	}
	s.decided[sum] = e
}

func (s *Keeper) acceptBundle(next *versionedBundle, source string) {
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
	for _, c := range s.subscribers {
		select {
		case c <- struct{}{}:
		default: // The receiver has not yet taken the previous notice, which covers this change too.
		}
	}
}

func (s *Keeper) note(v bundler.Version, cause, before, after string) {
	s.Audit.Note(auditor.Change{Part: "config", Subject: "bundle " + v.String(), Cause: cause, Before: before, After: after})
}

// Current returns the bundle in force, which must not be modified, and its
// version; nil and the zero version when there is none.
func (s *Keeper) Current() (*parser.Bundle, bundler.Version) {
	current := s.current.Load()
	if current == nil {
		return nil, bundler.Version{}
	}
	return current.bundle, current.version
}

// Text returns version and text of the bundle in force; nil when there is none.
func (s *Keeper) Text() (bundler.Version, []byte) {
	current := s.current.Load()
	if current == nil {
		return bundler.Version{}, nil
	}
	return current.version, current.text
}

// Sections returns version and sections of the bundle in force, as Split makes them.
func (s *Keeper) Sections() (bundler.Version, [][]byte) {
	current := s.current.Load()
	if current == nil {
		return bundler.Version{}, nil
	}
	return current.version, current.sections
}

// Refused returns the latest refused bundles, oldest first.
func (s *Keeper) Refused() []Refused { return s.refused.Values() }

// Changes returns a channel that receives a value after each change. It holds
// one value, so several changes may be told as one; the receiver calls Current.
func (s *Keeper) Changes() <-chan struct{} {
	c := make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, c)
	return c
}
