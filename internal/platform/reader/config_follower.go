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

	limit    *rate.Limiter
	delay    backoff
	revision uint64
	read     atomic.Int64
	calls    atomic.Int64
}

const (
	defaultWait     = 30 * time.Second
	defaultFallback = 60 * time.Second
	defaultFirst    = 3 * time.Second
	defaultRate     = 1
	burst           = 3               // Lets a few changes in quick succession through without delay.
	maxConfigTime   = 5 * time.Second // Timeout of one read, in addition to the wait.
	roleCheck       = time.Second     // Time between two looks at Reader and Heard.
	minDelay        = 500 * time.Millisecond
	maxDelay        = 30 * time.Second
)

// Read returns the time of the last answer of the configuration service, zero before the first.
func (f *ConfigFollower) Read() time.Time { return fromNanos(f.read.Load()) }

// Calls returns the number of calls to the configuration service so far.
func (f *ConfigFollower) Calls() int64 { return f.calls.Load() }

// Run reads until ctx is done and returns nil.
func (f *ConfigFollower) Run(ctx context.Context) error {
	f.prepare()
	first := time.Now().Add(f.First + rand.N(f.First+1))
	next, alone := first, true
	for ctx.Err() == nil {
		now := time.Now()
		switch {
		case f.Reader == nil || f.Reader():
			if err := f.call(ctx, f.Wait); err != nil {
				sleeper.Sleep(ctx, f.delay.next())
			}
			continue
		case f.Heard != nil && f.Heard():
			alone = false
		case !alone:
			// Instances that lose their links together must not all read at once.
			alone, next = true, now.Add(rand.N(f.Period))
		case !now.Before(next):
			wait := spread(f.Period)
			if err := f.call(ctx, 0); err != nil {
				wait = min(wait, f.delay.next())
			}
			next = time.Now().Add(wait)
		}
		sleeper.Sleep(ctx, roleCheck)
	}
	return nil
}

func (f *ConfigFollower) prepare() {
	preset(&f.Wait, defaultWait)
	preset(&f.Period, defaultFallback)
	preset(&f.First, defaultFirst)
	preset(&f.Rate, defaultRate)
	if f.Log == nil {
		f.Log = &log.DefaultLogger
	}
	f.limit = rate.NewLimiter(rate.Limit(f.Rate), burst)
	f.delay = backoff{least: minDelay, most: maxDelay}
}

// call reads once, waiting up to wait for a change, and offers the answer.
func (f *ConfigFollower) call(ctx context.Context, wait time.Duration) error {
	if err := f.limit.Wait(ctx); err != nil {
		return errors.Wrap(err, "limit of calls")
	}
	limited, cancel := context.WithTimeout(ctx, wait+maxConfigTime)
	defer cancel()
	f.calls.Add(1)
	v, err := f.Client.Config(limited, f.revision, wait)
	if err != nil {
		if f.delay.current == 0 && ctx.Err() == nil {
			f.Log.Warn().Err(err).Msg("platform: configuration cannot be read; the one in force stays")
		}
		return err
	}
	f.delay.reset()
	f.read.Store(time.Now().UnixNano())
	if v == nil {
		return nil
	}
	// The revision follows the platform even when it falls or the bundle is
	// refused; otherwise each watch would return at once with the same answer.
	f.revision = v.Revision
	changed, err := f.Keeper.Offer(v.Text, "platform")
	switch {
	case err != nil:
		f.Log.Error().Err(err).Msg("config: bundle refused")
	case changed:
		f.Log.Info().Uint64("revision", v.Revision).Msg("config: bundle accepted from the platform")
	}
	return nil
}

func preset[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
