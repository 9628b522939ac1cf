package reader

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"sardinelever.example/sardinelever/internal/flow/sleeper"
)

// BundleSink receives the bundles that are read from the platform;
// *keeper.BundleStore implements it. OfferBundle reports whether the bundle
// replaced the active one.
type BundleSink interface {
	OfferBundle(text []byte, source string) (changed bool, err error)
}

// ConfigFollower keeps the configuration up to date. Only some instances of the
// fleet are readers: each of them always has one watch pending at the
// configuration service. The other instances learn of new versions from
// announcements in the fleet, and read periodically only while they receive
// none. The exported fields must be set before Run.
type ConfigFollower struct {
	Client            *Client
	BundleSink        BundleSink
	IsReader          func() bool   // Reports whether this instance is a reader; nil means that it always is.
	HeardAnnouncement func() bool   // Reports whether an announcement arrived within the last 10 s; nil means never.
	WatchTimeout      time.Duration // Longest time that one watch waits for a change; 0 means 30s.
	FallbackPeriod    time.Duration // Time between reads while no announcements arrive, with jitter; 0 means 60s.
	FirstReadDelay    time.Duration // Least delay of the first read of an instance that is no reader; jitter adds up to the same time again; 0 means 3s.
	MaxCallRate       float64       // Largest average number of calls per second; 0 means 1.
	Log               *log.Logger   // nil means log.DefaultLogger.

	limiter      *rate.Limiter
	retryBackoff backoff
	revision     uint64
	lastRead     atomic.Int64
	callCount    atomic.Int64
}

const (
	defaultWatchTimeout   = 30 * time.Second
	defaultFallbackPeriod = 60 * time.Second
	defaultFirstReadDelay = 3 * time.Second
	defaultMaxCallRate    = 1
	maxCallBurst          = 3               // Lets a few changes in quick succession be read without delay.
	configReadTimeout     = 5 * time.Second // Timeout of one read, in addition to the time that the watch waits.
	roleCheckPeriod       = time.Second     // Time between two checks of IsReader and HeardAnnouncement.
	minRetryDelay         = 500 * time.Millisecond
	maxRetryDelay         = 30 * time.Second
)

// LastRead returns the time of the last valid response of the configuration
// service; it is zero before the first.
func (f *ConfigFollower) LastRead() time.Time { return timeFromUnixNano(f.lastRead.Load()) }

// CallCount returns the number of calls to the configuration service so far.
func (f *ConfigFollower) CallCount() int64 { return f.callCount.Load() }

// Run reads the configuration until ctx is done and returns nil.
func (f *ConfigFollower) Run(ctx context.Context) error {
	f.setDefaults()
	firstRead := time.Now().Add(f.FirstReadDelay + rand.N(f.FirstReadDelay+1))
	nextRead, hearsNothing := firstRead, true
	for ctx.Err() == nil {
		now := time.Now()
		switch {
		case f.IsReader == nil || f.IsReader():
			if err := f.readConfig(ctx, f.WatchTimeout); err != nil {
				sleeper.Sleep(ctx, f.retryBackoff.nextDelay())
			}
			continue
		case f.HeardAnnouncement != nil && f.HeardAnnouncement():
			hearsNothing = false
		case !hearsNothing:
			// A random delay, because instances that lose their connections to the fleet
			// together must not all read at once.
			hearsNothing, nextRead = true, now.Add(rand.N(f.FallbackPeriod))
		case !now.Before(nextRead):
			delay := addJitter(f.FallbackPeriod)
			if err := f.readConfig(ctx, 0); err != nil {
				delay = min(delay, f.retryBackoff.nextDelay())
			}
			nextRead = time.Now().Add(delay)
		}
		sleeper.Sleep(ctx, roleCheckPeriod)
	}
	return nil
}

func (f *ConfigFollower) setDefaults() {
	setDefault(&f.WatchTimeout, defaultWatchTimeout)
	setDefault(&f.FallbackPeriod, defaultFallbackPeriod)
	setDefault(&f.FirstReadDelay, defaultFirstReadDelay)
	setDefault(&f.MaxCallRate, defaultMaxCallRate)
	if f.Log == nil {
		f.Log = &log.DefaultLogger
	}
	f.limiter = rate.NewLimiter(rate.Limit(f.MaxCallRate), maxCallBurst)
	f.retryBackoff = backoff{minDelay: minRetryDelay, maxDelay: maxRetryDelay}
}

// readConfig sends one request, which the platform answers at a change or after
// wait, and passes a changed bundle to BundleSink.
func (f *ConfigFollower) readConfig(ctx context.Context, wait time.Duration) error {
	if err := f.limiter.Wait(ctx); err != nil {
		return errors.Wrap(err, "wait for the call rate limit")
	}
	readCtx, cancel := context.WithTimeout(ctx, wait+configReadTimeout)
	defer cancel()
	f.callCount.Add(1)
	value, err := f.Client.ReadConfig(readCtx, f.revision, wait)
	if err != nil {
		if f.retryBackoff.currentDelay == 0 && ctx.Err() == nil {
			f.Log.Warn().Err(err).Msg("platform: cannot read the configuration; keeping the active one")
		}
		return err
	}
	f.retryBackoff.reset()
	f.lastRead.Store(time.Now().UnixNano())
	if value == nil {
		return nil
	}
	// The revision is taken over even when it is lower than before or the bundle is
	// rejected; otherwise each watch would return the same bundle at once.
	f.revision = value.Revision
	changed, err := f.BundleSink.OfferBundle(value.Text, "platform")
	switch {
	case err != nil:
		f.Log.Error().Err(err).Msg("config: bundle rejected")
	case changed:
		f.Log.Info().Uint64("revision", value.Revision).Msg("config: bundle accepted from the platform")
	}
	return nil
}

// setDefault sets field to value when field is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
