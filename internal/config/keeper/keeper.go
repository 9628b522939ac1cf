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

// maxKnown bounds the sums of refused and displaced bundles that are
// remembered so that a repeated offer is neither checked nor audited again.
const maxKnown = 64

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

	current atomic.Pointer[held]
	mu      sync.Mutex // Serializes offers.
	refused ringer.Ring[Refused]
	known   map[uint64]*RefusedError // By sum; nil values are bundles that lost against another of their version.
	waiting []chan struct{}
}

// held is the bundle in force; it is never modified.
type held struct {
	bundle   *parser.Bundle
	version  bundler.Version
	text     []byte
	sections [][]byte
}

// Offer puts the bundle text into force when it is valid and higher than the
// one in force; source is recorded as its origin. A lower or equal bundle is
// ignored without error. The error is a *RefusedError and leaves the bundle
// in force as it is. Text must not be modified afterwards.
func (k *Keeper) Offer(text []byte, source string) (changed bool, err error) {
	sum := bundler.Sum(text)
	k.mu.Lock()
	defer k.mu.Unlock()
	old := k.current.Load()
	if old != nil && old.version.Sum == sum && len(old.text) == len(text) {
		return false, nil
	}
	if e, ok := k.known[sum]; ok {
		if e == nil {
			return false, nil
		}
		return false, e
	}
	b, err := parse(text)
	if err != nil {
		return false, k.refuse(Refused{Time: time.Now(), Version: bundler.Version{Number: number(text), Sum: sum}, Source: source, Reason: err.Error()})
	}
	v := bundler.Version{Number: b.Version, Sum: sum}
	if old != nil && v.Compare(old.version) <= 0 {
		if v.Number == old.version.Number {
			k.remember(sum, nil)
			k.note(v, "lost against another bundle of its version, offered by "+source, v.String(), old.version.String())
		}
		return false, nil
	}
	k.accept(&held{bundle: b, version: v, text: text, sections: bundler.Split(text)}, source)
	return true, nil
}

func parse(text []byte) (*parser.Bundle, error) {
	if err := bundler.CheckSize(text); err != nil {
		return nil, err
	}
	return parser.ParseBundle("bundle", text)
}

func (k *Keeper) refuse(r Refused) error {
	e := &RefusedError{Refused: r}
	k.remember(r.Version.Sum, e)
	k.refused.Put(r)
	_, v := k.Current()
	k.note(r.Version, "refused, offered by "+r.Source+": "+r.Reason, v.String(), v.String())
	return e
}

// remember marks a sum as already decided.
func (k *Keeper) remember(sum uint64, e *RefusedError) {
	if k.known == nil || len(k.known) >= maxKnown {
		k.known = make(map[uint64]*RefusedError)
	}
	k.known[sum] = e
}

func (k *Keeper) accept(h *held, source string) {
	before := "none"
	if old := k.current.Load(); old != nil {
		before = old.version.String()
		switch {
		case old.version.Number == h.version.Number:
			k.remember(old.version.Sum, nil)
			k.note(old.version, "displaced by another bundle of its version", before, h.version.String())
		case h.bundle.Parent != old.version.Number:
			k.note(h.version, fmt.Sprintf("parent %d is not the version in force", h.bundle.Parent), before, h.version.String())
		}
	}
	k.current.Store(h)
	k.note(h.version, "accepted, offered by "+source, before, h.version.String())
	for _, c := range k.waiting {
		select {
		case c <- struct{}{}:
		default: // The receiver has not yet taken the previous notice, which covers this change too.
		}
	}
}

func (k *Keeper) note(v bundler.Version, cause, before, after string) {
	k.Audit.Note(auditor.Change{Part: "config", Subject: "bundle " + v.String(), Cause: cause, Before: before, After: after})
}

// Current returns the bundle in force, which must not be modified, and its
// version; nil and the zero version when there is none.
func (k *Keeper) Current() (*parser.Bundle, bundler.Version) {
	h := k.current.Load()
	if h == nil {
		return nil, bundler.Version{}
	}
	return h.bundle, h.version
}

// Text returns version and text of the bundle in force; nil when there is none.
func (k *Keeper) Text() (bundler.Version, []byte) {
	h := k.current.Load()
	if h == nil {
		return bundler.Version{}, nil
	}
	return h.version, h.text
}

// Sections returns version and sections of the bundle in force, as Split makes them.
func (k *Keeper) Sections() (bundler.Version, [][]byte) {
	h := k.current.Load()
	if h == nil {
		return bundler.Version{}, nil
	}
	return h.version, h.sections
}

// Refused returns the latest refused bundles, oldest first.
func (k *Keeper) Refused() []Refused { return k.refused.Values() }

// Changes returns a channel that receives a value after each change. It holds
// one value, so several changes may be told as one; the receiver calls Current.
func (k *Keeper) Changes() <-chan struct{} {
	c := make(chan struct{}, 1)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.waiting = append(k.waiting, c)
	return c
}
