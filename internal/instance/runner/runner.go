package runner

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"reflect"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"sardinelever.example/sardinelever/internal/call/translator"
	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/platform/watcher"
)

// Runner is an entry instance; Settings and Log are set before Run.
type Runner struct {
	Settings *parser.Settings
	Log      *log.Logger // nil means log.DefaultLogger.
	Platform *Platform   // nil means the product's own formats.

	ready atomic.Bool
	addr  atomic.Pointer[netip.AddrPort]
	parts atomic.Pointer[parts]
}

const (
	// headerTimeout bounds slow request headers of callers.
	headerTimeout = 5 * time.Second
	// maxHeader is the largest request header in bytes.
	maxHeader = 64 << 10
	// peerWait is how long a new instance waits for the configuration of its
	// peers before it trusts the platform alone.
	peerWait = 3 * time.Second
	// graceMargin is the part of the grace time that is left for the end of the process.
	graceMargin = 300 * time.Millisecond
)

// Platform translates the formats of a platform.
type Platform struct {
	Store   watcher.Store
	Decoder watcher.Decoder
	Dialect translator.Dialect
}

// ErrInstance reports that the instance could not start or stopped by a failure.
var ErrInstance = errors.New("instance failed")

// Ready reports whether new calls should be sent to the instance. It turns
// false at the start of a shutdown, while calls are still accepted.
func (r *Runner) Ready() bool { return r.ready.Load() }

// Address returns the address of the callers' listener, the zero value before Run has opened it.
func (r *Runner) Address() netip.AddrPort {
	if a := r.addr.Load(); a != nil {
		return *a
	}
	return netip.AddrPort{}
}

// Run serves until ctx is done, then shuts down gracefully: readiness turns
// false, calls are accepted until the notice ends, calls in flight finish. The error
// wraps ErrInstance.
func (r *Runner) Run(ctx context.Context) error {
	if r.Log == nil {
		r.Log = &log.DefaultLogger
	}
	settings := r.Settings.WithDefaults()
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, work := errgroup.WithContext(work)
	r.Log.Info().Str("name", settings.Name).Str("zone", settings.Zone).Str("dialect", settings.Dialect).
		Int("seeds", len(settings.Seeds)).Msg("instance: starting")
	p := build(&settings, r.Platform, r.Log)
	r.parts.Store(p)
	servers, err := r.listen(p, g)
	if err != nil {
		return wrap(err)
	}
	for _, duty := range p.duties() {
		g.Go(bind(work, duty))
	}
	g.Go(r.bindStart(work, p))
	select {
	case <-ctx.Done():
		r.shutdown(p, servers)
	case <-work.Done():
	}
	_ = servers.operator.Close()
	stop()
	return wrap(g.Wait())
}

func wrap(err error) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(ErrInstance, err.Error())
}

func bind(ctx context.Context, duty func(context.Context) error) func() error {
	return func() error { return duty(ctx) }
}

// servers are the HTTP servers of an instance.
type servers struct{ callers, operator *http.Server }

// listen opens the listeners of callers, operators and other instances.
func (r *Runner) listen(p *parts, g *errgroup.Group) (*servers, error) {
	l, err := net.Listen("tcp", r.Settings.Callers.String())
	if err != nil {
		return nil, errors.Wrap(err, "callers' listener")
	}
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	r.addr.Store(&addr)
	s := &servers{callers: newServer(&p.pipe), operator: newServer(p.reporter(r.Ready).Handler())}
	if r.Settings.Operator.IsValid() {
		o, err := net.Listen("tcp", r.Settings.Operator.String())
		if err != nil {
			_ = l.Close()
			return nil, errors.Wrap(err, "operators' listener")
		}
		g.Go(serve(s.operator, o))
	}
	if err := p.linker.Bind(); err != nil {
		_ = l.Close()
		_ = s.operator.Close()
		return nil, errors.Wrap(err, "peers' listener")
	}
	g.Go(func() error { return r.serveCallers(p, s.callers, l) })
	return s, nil
}

// startWait is the time for which the first calls of an instance wait for its
// configuration, which takes milliseconds to read, in place of being refused.
const startWait = 300 * time.Millisecond

// serveCallers serves the callers' listener with the limits of the configuration.
func (r *Runner) serveCallers(p *parts, s *http.Server, l net.Listener) error {
	if p.platform != nil {
		ctx, cancel := context.WithTimeout(context.Background(), startWait)
		p.await(ctx)
		cancel()
		limits := p.maps.Load().Limits
		s.IdleTimeout = limits.Idle.AsDuration()
		if d := limits.Read.AsDuration(); d > 0 {
			s.ReadHeaderTimeout = d
		}
		if limits.Header > 0 {
			s.MaxHeaderBytes = limits.Header
		}
	}
	return serve(s, l)()
}

func newServer(h http.Handler) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeader, Protocols: new(http.Protocols)}
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetUnencryptedHTTP2(true)
	return s
}

func serve(s *http.Server, l net.Listener) func() error {
	return func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}
}

// bindStart makes the instance ready once it has a bundle and has heard its peers.
func (r *Runner) bindStart(ctx context.Context, p *parts) func() error {
	return func() error {
		p.await(ctx)
		if ctx.Err() != nil {
			return nil
		}
		p.members.SetReady(true)
		r.ready.Store(true)
		r.Log.Info().Stringer("callers", r.Address()).Msg("instance: ready")
		return nil
	}
}

// Reload takes over the parts of s that may change while the instance runs: the
// seeds and the retry budget. Other changes are logged and wait for the next start.
func (r *Runner) Reload(s *parser.Settings) {
	p := r.parts.Load()
	if p == nil {
		return
	}
	next := s.WithDefaults()
	p.members.SetSeeds(next.Seeds)
	p.retry.Store(&next.Retry)
	applied := *p.settings
	applied.Seeds, applied.Retry = next.Seeds, next.Retry
	r.Log.Info().Bool("pending", !reflect.DeepEqual(applied, next)).Int("seeds", len(next.Seeds)).Msg("instance: settings reloaded")
}

func (r *Runner) shutdown(p *parts, s *servers) {
	r.ready.Store(false)
	p.members.Leave()
	p.pipe.stopping.Store(true)
	settings := r.Settings.WithDefaults()
	notice := settings.Notice.AsDuration()
	r.Log.Info().Dur("notice", notice).Msg("instance: stopping; calls are accepted until the notice ends")
	time.Sleep(notice)
	// Calls in flight finish within their own deadlines, and before the
	// process is ended by force.
	ctx, cancel := context.WithCancel(context.Background())
	if grace := settings.Grace.AsDuration(); grace > 0 {
		ctx, cancel = context.WithTimeout(ctx, grace-notice-graceMargin)
	}
	defer cancel()
	if err := s.callers.Shutdown(ctx); err != nil {
		r.Log.Warn().Err(err).Msg("instance: calls are still in flight at the end of the grace time")
	}
	r.Log.Info().Msg("instance: stopped")
}
