package spreader

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/config/bundler"
	"sardinelever.example/sardinelever/internal/fleet/linker"
	"sardinelever.example/sardinelever/internal/fleet/messenger"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
	"sardinelever.example/sardinelever/internal/operator/auditor"
)

// Errors of a pull.
var (
	ErrBusy  = errors.New("instance is busy or has another version by now")
	ErrEmpty = errors.New("instance has no bundle")
	ErrSum   = errors.New("bundle does not have its announced sum")
)

func message(v bundler.Version) *messenger.Version {
	return &messenger.Version{Number: v.Number, Sum: v.Sum}
}

func parseVersion(m *messenger.Version) bundler.Version {
	return bundler.Version{Number: m.GetNumber(), Sum: m.GetSum()}
}

// Keeper holds the configuration in force.
type Keeper interface {
	// Offer takes the text of a bundle. An error means that the text is not
	// acceptable to any instance.
	Offer(text []byte, source string) (changed bool, err error)
}

// Sections are the functions on the sections of a bundle; package bundler has
// them.
type Sections struct {
	Sums     func(sections [][]byte) []uint64
	Missing  func(sums []uint64, have [][]byte) []uint64
	Assemble func(sums []uint64, have, received [][]byte) ([]byte, error)
}

// Fleet is the membership; *registrar.Registrar implements it.
type Fleet interface {
	Broadcast(m *messenger.Control)
	SetVersion(v *messenger.Version)
	Members() []registrar.Member
}

// Links open streams to other instances; *linker.Linker implements them.
type Links interface {
	Open(ctx context.Context, peer netip.AddrPort, k linker.Kind) (net.Conn, error)
}

// Spreader announces the version in force and pulls higher ones. It receives the
// control messages of a Registrar. Its fields are set before any method is
// called.
type Spreader struct {
	Keeper   Keeper
	Current  func() (bundler.Version, [][]byte) // Bundle in force and its sections; the zero bundler.Version without one.
	Sections Sections
	Fleet    Fleet
	Links    Links
	Changes  <-chan struct{} // Signals a change of the bundle in force; nil means that Announce is called instead.
	Audit    *auditor.Auditor

	Fresh   time.Duration // Age up to which an announcement counts as heard; 0 means 10s.
	Timeout time.Duration // Limit of one pull; 0 means 5s.
	Backoff time.Duration // First pause after a failed pull; doubles up to 32 times; 0 means 100ms.
	Serving int           // Pulls that this instance answers at once; 0 means 4.

	once    sync.Once
	wake    chan struct{}
	serving chan struct{}
	pulling chan struct{} // Held by the one pull in progress.
	heard   atomic.Int64  // Time of the last announcement, nanoseconds since 1970.

	mu      sync.Mutex
	offers  map[netip.AddrPort]*offer
	refused map[bundler.Version]bool

	pulls, failed, sections, bytes atomic.Uint64
}

// offer is what a peer announced.
type offer struct {
	peer    netip.AddrPort
	name    string
	version bundler.Version
	fails   int
	next    time.Time // No pull before this time.
}

const (
	maxOffers  = 64
	maxRefused = 64
)

func (s *Spreader) init() {
	for d, v := range map[*time.Duration]time.Duration{
		&s.Fresh: 10 * time.Second, &s.Timeout: 5 * time.Second, &s.Backoff: 100 * time.Millisecond,
	} {
		if *d == 0 {
			*d = v
		}
	}
	if s.Serving == 0 {
		s.Serving = 4
	}
	s.wake = make(chan struct{}, 1)
	s.pulling = make(chan struct{}, 1)
	s.serving = make(chan struct{}, s.Serving)
	s.offers = make(map[netip.AddrPort]*offer)
	s.refused = make(map[bundler.Version]bool)
}

// Run pulls announced versions until ctx is done.
func (s *Spreader) Run(ctx context.Context) error {
	s.once.Do(s.init)
	s.Announce()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.Changes:
			s.Announce()
		case <-s.wake:
		case <-timer.C:
		}
		wait := s.step(ctx)
		timer.Reset(wait)
	}
}

// step pulls the best offer that is not in its pause, and returns the time until
// the next step is due without a new announcement.
func (s *Spreader) step(ctx context.Context) time.Duration {
	o, wait := s.best(time.Now())
	if o == nil {
		return wait
	}
	err := s.pull(ctx, o.peer, o.name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		delete(s.offers, o.peer)
		return 0
	}
	if ctx.Err() == nil {
		log.Debug().Str("instance", o.name).Err(err).Msg("fleet: pull of configuration failed")
	}
	pause := s.Backoff << min(o.fails, 5)
	o.fails++
	o.next = time.Now().Add(pause/2 + rand.N(pause))
	return 0
}

// best returns a random one of the highest offers that may be pulled at now, and
// forgets offers that are not higher than the bundle in force. Without one it
// returns the time until a pause ends.
func (s *Spreader) best(now time.Time) (*offer, time.Duration) {
	own, _ := s.Current()
	s.mu.Lock()
	defer s.mu.Unlock()
	var best *offer
	wait, ties := time.Hour, 0
	for p, o := range s.offers {
		switch {
		case o.version.Compare(own) <= 0 || s.refused[o.version]:
			delete(s.offers, p)
		case now.Before(o.next):
			wait = min(wait, o.next.Sub(now))
		case best == nil || o.version.Compare(best.version) > 0:
			best, ties = o, 1
		case o.version == best.version:
			// Choosing evenly keeps instances that are behind together from
			// all asking the same announcer.
			if ties++; rand.N(ties) == 0 {
				best = o
			}
		}
	}
	return best, wait
}

// Announce tells the neighbours the version in force, now and with each
// heartbeat.
func (s *Spreader) Announce() {
	v, _ := s.Current()
	if v == (bundler.Version{}) {
		return
	}
	s.Fleet.SetVersion(message(v))
	s.Fleet.Broadcast(&messenger.Control{Kind: &messenger.Control_Version{Version: message(v)}})
}

// Heard reports whether another instance announced a version within Fresh.
func (s *Spreader) Heard() bool {
	s.once.Do(s.init)
	return time.Since(time.Unix(0, s.heard.Load())) <= s.Fresh
}

// Counts are the totals of a Spreader since its start.
type Counts struct {
	Pulls, Failed   uint64 // Pulls that were started, and those that failed.
	Sections, Bytes uint64 // Sections that were received, and their size.
}

// Counts returns the current totals.
func (s *Spreader) Counts() Counts {
	return Counts{s.pulls.Load(), s.failed.Load(), s.sections.Load(), s.bytes.Load()}
}
