package distributor

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
	"sardinelever.example/sardinelever/internal/fleet/connector"
	"sardinelever.example/sardinelever/internal/fleet/messenger"
	"sardinelever.example/sardinelever/internal/fleet/registrar"
	"sardinelever.example/sardinelever/internal/operator/auditor"
)

// Errors of a pull.
var (
	// ErrPeerBusy reports that the peer sent no sections: it answers too many pulls
	// already, or no longer has the requested version.
	ErrPeerBusy = errors.New("instance is busy or no longer has the requested version")
	// ErrNoBundle reports that the peer has no bundle yet.
	ErrNoBundle = errors.New("instance has no bundle")
	// ErrSumMismatch reports that the sum of the assembled bundle differs from the
	// one in the manifest.
	ErrSumMismatch = errors.New("bundle does not have its announced sum")
)

func versionMessage(v bundler.Version) *messenger.Version {
	return &messenger.Version{Number: v.Number, Sum: v.Sum}
}

func parseVersion(m *messenger.Version) bundler.Version {
	return bundler.Version{Number: m.GetNumber(), Sum: m.GetSum()}
}

// BundleSink checks bundles and holds the one in force.
type BundleSink interface {
	// OfferBundle puts the bundle with this text in force if it is acceptable
	// and of a higher version. An error means that no instance would accept the
	// text.
	OfferBundle(text []byte, source string) (changed bool, err error)
}

// SectionFuncs holds the functions that work on the sections of a bundle. Package
// bundler implements them.
type SectionFuncs struct {
	ComputeSums    func(sections [][]byte) []uint64                             // Returns the sum of each section.
	FindMissing    func(sums []uint64, have [][]byte) []uint64                  // Returns those of sums that no section in have has.
	AssembleBundle func(sums []uint64, have, received [][]byte) ([]byte, error) // Joins the sections with these sums.
}

// Fleet knows the members of the fleet and sends control messages to them.
// *registrar.Registrar implements it.
type Fleet interface {
	BroadcastToNeighbours(m *messenger.Control)
	SetVersion(v *messenger.Version)
	Members() []registrar.Member
}

// StreamOpener opens streams to other instances. *connector.Connector implements it.
type StreamOpener interface {
	OpenStream(ctx context.Context, peer netip.AddrPort, k connector.StreamKind) (net.Conn, error)
}

// Distributor announces the version of the bundle in force and pulls bundles of
// higher versions from other instances. It is a registrar.MessageHandler, which
// receives control messages. The exported fields must be set before any method
// is called.
type Distributor struct {
	BundleSink    BundleSink
	CurrentBundle func() (bundler.Version, [][]byte) // Returns version and sections of the bundle in force; the zero Version without one.
	Sections      SectionFuncs
	Fleet         Fleet
	StreamOpener  StreamOpener
	BundleChanged <-chan struct{} // Receives a value when the bundle in force changes; nil if AnnounceVersion is called instead.
	Audit         *auditor.Trail

	MaxAnnouncementAge   time.Duration // Age up to which HasRecentAnnouncement counts an announcement; 0 means 10s.
	PullTimeout          time.Duration // Limit for one pull; 0 means 5s.
	InitialBackoff       time.Duration // Mean delay after the first failed pull from a peer; it doubles with each failure up to 32 times the value; 0 means 100ms.
	MaxConcurrentAnswers int           // Pulls that this instance answers concurrently; 0 means 4.

	initOnce         sync.Once
	wake             chan struct{} // Wakes Run after a new announcement.
	answerSlots      chan struct{} // Semaphore for pulls that are being answered.
	pullSlot         chan struct{} // Semaphore that allows one outgoing pull at a time.
	lastAnnouncement atomic.Int64  // Time when the last announcement arrived, nanoseconds since 1970.

	mu              sync.Mutex
	announcements   map[netip.AddrPort]*announcement // By address of the peer; only versions that may be pulled.
	refusedVersions map[bundler.Version]bool         // Versions that BundleSink refused; not pulled again.

	pullsStarted, pullsFailed, sectionsReceived, bytesReceived atomic.Uint64
}

// announcement is a version that a peer announced, with the backoff after failed
// pulls from that peer.
type announcement struct {
	peer     netip.AddrPort
	name     string
	version  bundler.Version
	failures int
	nextPull time.Time // End of the backoff.
}

const (
	maxAnnouncements   = 64 // Further peers are ignored until one is removed.
	maxRefusedVersions = 64 // All are forgotten when another one would exceed the limit.
)

func (d *Distributor) init() {
	for field, v := range map[*time.Duration]time.Duration{
		&d.MaxAnnouncementAge: 10 * time.Second, &d.PullTimeout: 5 * time.Second, &d.InitialBackoff: 100 * time.Millisecond,
	} {
		if *field == 0 {
			*field = v
		}
	}
	if d.MaxConcurrentAnswers == 0 {
		d.MaxConcurrentAnswers = 4
	}
	d.wake = make(chan struct{}, 1)
	d.pullSlot = make(chan struct{}, 1)
	d.answerSlots = make(chan struct{}, d.MaxConcurrentAnswers)
	d.announcements = make(map[netip.AddrPort]*announcement)
	d.refusedVersions = make(map[bundler.Version]bool)
}

// Run announces the version in force when it changes, and pulls announced higher
// versions, until ctx is done.
func (d *Distributor) Run(ctx context.Context) error {
	d.initOnce.Do(d.init)
	d.AnnounceVersion()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.BundleChanged:
			d.AnnounceVersion()
		case <-d.wake:
		case <-timer.C:
		}
		wait := d.pullHighest(ctx)
		timer.Reset(wait)
	}
}

// pullHighest pulls the highest announced version whose announcement is not in
// backoff. It returns the delay until the next call if no announcement arrives
// before.
func (d *Distributor) pullHighest(ctx context.Context) time.Duration {
	a, wait := d.highestAnnouncement(time.Now())
	if a == nil {
		return wait
	}
	err := d.pullFrom(ctx, a.peer, a.name)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		delete(d.announcements, a.peer)
		return 0
	}
	if ctx.Err() == nil {
		log.Debug().Str("instance", a.name).Err(err).Msg("fleet: pull of configuration failed")
	}
	pause := d.InitialBackoff << min(a.failures, 5)
	a.failures++
	a.nextPull = time.Now().Add(pause/2 + rand.N(pause))
	return 0
}

// highestAnnouncement returns the announcement of the highest version among those
// that are not in backoff, a random one if several peers announced that version.
// It removes announcements of versions that were refused or are not higher than
// the version in force. If none is left, it returns nil and the time until the
// first backoff ends.
func (d *Distributor) highestAnnouncement(now time.Time) (*announcement, time.Duration) {
	own, _ := d.CurrentBundle()
	d.mu.Lock()
	defer d.mu.Unlock()
	var best *announcement
	wait, ties := time.Hour, 0
	for p, a := range d.announcements {
		switch {
		case a.version.Compare(own) <= 0 || d.refusedVersions[a.version]:
			delete(d.announcements, p)
		case now.Before(a.nextPull):
			wait = min(wait, a.nextPull.Sub(now))
		case best == nil || a.version.Compare(best.version) > 0:
			best, ties = a, 1
		case a.version == best.version:
			// Each peer is chosen with equal probability. Otherwise, instances
			// that lack the same version would all pull from the same peer.
			if ties++; rand.N(ties) == 0 {
				best = a
			}
		}
	}
	return best, wait
}

// AnnounceVersion sends the version in force to the neighbours now, and with
// each heartbeat from now on. It does nothing without a bundle.
func (d *Distributor) AnnounceVersion() {
	v, _ := d.CurrentBundle()
	if v == (bundler.Version{}) {
		return
	}
	d.Fleet.SetVersion(versionMessage(v))
	d.Fleet.BroadcastToNeighbours(&messenger.Control{Kind: &messenger.Control_Version{Version: versionMessage(v)}})
}

// HasRecentAnnouncement reports whether an announcement of another instance
// arrived within the last MaxAnnouncementAge.
func (d *Distributor) HasRecentAnnouncement() bool {
	d.initOnce.Do(d.init)
	return time.Since(time.Unix(0, d.lastAnnouncement.Load())) <= d.MaxAnnouncementAge
}

// Stats holds the totals of a Distributor since its start.
type Stats struct {
	PullsStarted, PullsFailed       uint64 // Outgoing pulls that were started, and those that failed.
	SectionsReceived, BytesReceived uint64 // Sections that were received, and their size in bytes.
}

// Stats returns the current totals.
func (d *Distributor) Stats() Stats {
	return Stats{d.pullsStarted.Load(), d.pullsFailed.Load(), d.sectionsReceived.Load(), d.bytesReceived.Load()}
}
