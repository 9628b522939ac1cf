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

// Offerer takes the bundles that a ConfigFollower reads; *keeper.Keeper is one.
type Offerer interface {
	Offer(text []byte, source string) (changed bool, err error)
}

// ConfigFollower reads the configuration service: an instance that is a
// reader keeps one watch pending; any other reads now and then, and only while it hears no
// announcements of other instances. The exported fields are set before Run.
type ConfigFollower struct {
	Client *Client
	Keeper Offerer
	Reader func() bool   // Reader reports whether this instance watches; nil means always.
	Heard  func() bool   // Heard reports whether an announcement came within the last 10 s; nil means never.
	Wait   time.Duration // Time for which one watch is pending; 0 means 30s.
	Period time.Duration // Time between reads of an instance that hears nothing, with jitter; 0 means 60s.
	First  time.Duration // Time before the first read of an instance that is no reader, up to twice that with jitter; 0 means 3s.
	Rate   float64       // Calls per second on average; 0 means 1.
	Log    *log.Logger   // nil means log.DefaultLogger.

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
	maxCallBurst          = 3               // Lets a few changes in quick succession through without delay.
	configReadTimeout     = 5 * time.Second // Timeout of one read, in addition to the wait.
	roleCheckPeriod       = time.Second     // Time between two looks at Reader and Heard.
	minRetryDelay         = 500 * time.Millisecond
	maxRetryDelay         = 30 * time.Second
)

// Read returns the time of the last answer of the configuration service, zero before the first.
func (f *ConfigFollower) Read() time.Time { return timeFromUnixNano(f.lastRead.Load()) }

// Calls returns the number of calls to the configuration service so far.
func (f *ConfigFollower) Calls() int64 { return f.callCount.Load() }

// Run reads until ctx is done and returns nil.
func (f *ConfigFollower) Run(ctx context.Context) error {
	f.setDefaults()
	firstRead := time.Now().Add(f.First + rand.N(f.First+1))
	nextRead, hearsNothing := firstRead, true
	for ctx.Err() == nil {
		now := time.Now()
		switch {
		case f.Reader == nil || f.Reader():
			if err := f.readConfig(ctx, f.Wait); err != nil {
				sleeper.Sleep(ctx, f.retryBackoff.nextDelay())
			}
			continue
		case f.Heard != nil && f.Heard():
			hearsNothing = false
		case !hearsNothing:
			// Instances that lose their links together must not all read at once.
			hearsNothing, nextRead = true, now.Add(rand.N(f.Period))
		case !now.Before(nextRead):
			delay := addJitter(f.Period)
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
	setDefault(&f.Wait, defaultWatchTimeout)
	setDefault(&f.Period, defaultFallbackPeriod)
	setDefault(&f.First, defaultFirstReadDelay)
	setDefault(&f.Rate, defaultMaxCallRate)
	if f.Log == nil {
		f.Log = &log.DefaultLogger
	}
	f.limiter = rate.NewLimiter(rate.Limit(f.Rate), maxCallBurst)
	f.retryBackoff = backoff{minDelay: minRetryDelay, maxDelay: maxRetryDelay}
}

// readConfig reads once, waiting up to wait for a change, and offers the answer.
func (f *ConfigFollower) readConfig(ctx context.Context, wait time.Duration) error {
	if err := f.limiter.Wait(ctx); err != nil {
		return errors.Wrap(err, "limit of calls")
	}
	readCtx, cancel := context.WithTimeout(ctx, wait+configReadTimeout)
	defer cancel()
	f.callCount.Add(1)
	value, err := f.Client.Config(readCtx, f.revision, wait)
	if err != nil {
		if f.retryBackoff.currentDelay == 0 && ctx.Err() == nil {
			f.Log.Warn().Err(err).Msg("platform: configuration cannot be read; the one in force stays")
		}
		return err
	}
	f.retryBackoff.reset()
	f.lastRead.Store(time.Now().UnixNano())
	if value == nil {
		return nil
	}
	// The revision follows the platform even when it falls or the bundle is
	// refused; otherwise each watch would return at once with the same answer.
	f.revision = value.Revision
	changed, err := f.Keeper.Offer(value.Text, "platform")
	switch {
	case err != nil:
		f.Log.Error().Err(err).Msg("config: bundle refused")
	case changed:
		f.Log.Info().Uint64("revision", value.Revision).Msg("config: bundle accepted from the platform")
	}
	return nil
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
