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

func versionMessage(v bundler.Version) *messenger.Version {
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

	initOnce         sync.Once
	wake             chan struct{}
	answerSlots      chan struct{}
	pullSlot         chan struct{} // Held by the one pull in progress.
	lastAnnouncement atomic.Int64  // Time of the last announcement, nanoseconds since 1970.

	mu              sync.Mutex
	announcements   map[netip.AddrPort]*announcement
	refusedVersions map[bundler.Version]bool

	pullsStarted, pullsFailed, sectionsReceived, bytesReceived atomic.Uint64
}

// announcement is what a peer announced.
type announcement struct {
	peer     netip.AddrPort
	name     string
	version  bundler.Version
	failures int
	nextPull time.Time // No pull before this time.
}

const (
	maxAnnouncements   = 64
	maxRefusedVersions = 64
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
	s.pullSlot = make(chan struct{}, 1)
	s.answerSlots = make(chan struct{}, s.Serving)
	s.announcements = make(map[netip.AddrPort]*announcement)
	s.refusedVersions = make(map[bundler.Version]bool)
}

// Run pulls announced versions until ctx is done.
func (s *Spreader) Run(ctx context.Context) error {
	s.initOnce.Do(s.init)
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
		wait := s.pullHighest(ctx)
		timer.Reset(wait)
	}
}

// pullHighest pulls the best offer that is not in its pause, and returns the time until
// the next step is due without a new announcement.
func (s *Spreader) pullHighest(ctx context.Context) time.Duration {
	a, wait := s.highestAnnouncement(time.Now())
	if a == nil {
		return wait
	}
	err := s.pullFrom(ctx, a.peer, a.name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		delete(s.announcements, a.peer)
		return 0
	}
	if ctx.Err() == nil {
		log.Debug().Str("instance", a.name).Err(err).Msg("fleet: pull of configuration failed")
	}
	pause := s.Backoff << min(a.failures, 5)
	a.failures++
	a.nextPull = time.Now().Add(pause/2 + rand.N(pause))
	return 0
}

// highestAnnouncement returns a random one of the highest offers that may be pulled at now, and
// forgets offers that are not higher than the bundle in force. Without one it
// returns the time until a pause ends.
func (s *Spreader) highestAnnouncement(now time.Time) (*announcement, time.Duration) {
	own, _ := s.Current()
	s.mu.Lock()
	defer s.mu.Unlock()
	var best *announcement
	wait, ties := time.Hour, 0
	for p, a := range s.announcements {
		switch {
		case a.version.Compare(own) <= 0 || s.refusedVersions[a.version]:
			delete(s.announcements, p)
		case now.Before(a.nextPull):
			wait = min(wait, a.nextPull.Sub(now))
		case best == nil || a.version.Compare(best.version) > 0:
			best, ties = a, 1
		case a.version == best.version:
			// Choosing evenly keeps instances that are behind together from
			// all asking the same announcer.
			if ties++; rand.N(ties) == 0 {
				best = a
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
	s.Fleet.SetVersion(versionMessage(v))
	s.Fleet.Broadcast(&messenger.Control{Kind: &messenger.Control_Version{Version: versionMessage(v)}})
}

// Heard reports whether another instance announced a version within Fresh.
func (s *Spreader) Heard() bool {
	s.initOnce.Do(s.init)
	return time.Since(time.Unix(0, s.lastAnnouncement.Load())) <= s.Fresh
}

// Counts are the totals of a Spreader since its start.
type Counts struct {
	Pulls, Failed   uint64 // Pulls that were started, and those that failed.
	Sections, Bytes uint64 // Sections that were received, and their size.
}

// Counts returns the current totals.
func (s *Spreader) Counts() Counts {
	return Counts{s.pullsStarted.Load(), s.pullsFailed.Load(), s.sectionsReceived.Load(), s.bytesReceived.Load()}
}
