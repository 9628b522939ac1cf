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

	ready       atomic.Bool
	callersAddr atomic.Pointer[netip.AddrPort]
	components  atomic.Pointer[components]
}

const (
	// readHeaderTimeout bounds slow request headers of callers.
	readHeaderTimeout = 5 * time.Second
	// maxHeaderBytes is the largest request header in bytes.
	maxHeaderBytes = 64 << 10
	// peerConfigTimeout is how long a new instance waits for the configuration of its
	// peers before it trusts the platform alone.
	peerConfigTimeout = 3 * time.Second
	// exitMargin is the part of the grace time that is left for the end of the process.
	exitMargin = 300 * time.Millisecond
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
	if a := r.callersAddr.Load(); a != nil {
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
	taskCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, taskCtx := errgroup.WithContext(taskCtx)
	r.Log.Info().Str("name", settings.Name).Str("zone", settings.Zone).Str("dialect", settings.Dialect).
		Int("seeds", len(settings.Seeds)).Msg("instance: starting")
	c := newComponents(&settings, r.Platform, r.Log)
	r.components.Store(c)
	servers, err := r.listen(c, g)
	if err != nil {
		return wrapFailure(err)
	}
	for _, task := range c.backgroundTasks() {
		g.Go(bindContext(taskCtx, task))
	}
	g.Go(r.readinessTask(taskCtx, c))
	select {
	case <-ctx.Done():
		r.shutdown(c, servers)
	case <-taskCtx.Done():
	}
	_ = servers.operator.Close()
	stop()
	return wrapFailure(g.Wait())
}

func wrapFailure(err error) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(ErrInstance, err.Error())
}

func bindContext(ctx context.Context, task func(context.Context) error) func() error {
	return func() error { return task(ctx) }
}

// httpServers are the HTTP servers of an instance.
type httpServers struct{ callers, operator *http.Server }

// listen opens the listeners of callers, operators and other instances.
func (r *Runner) listen(c *components, g *errgroup.Group) (*httpServers, error) {
	l, err := net.Listen("tcp", r.Settings.Callers.String())
	if err != nil {
		return nil, errors.Wrap(err, "callers' listener")
	}
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	r.callersAddr.Store(&addr)
	s := &httpServers{callers: newHTTPServer(&c.handler), operator: newHTTPServer(c.newReporter(r.Ready).Handler())}
	if r.Settings.Operator.IsValid() {
		operatorListener, err := net.Listen("tcp", r.Settings.Operator.String())
		if err != nil {
			_ = l.Close()
			return nil, errors.Wrap(err, "operators' listener")
		}
		g.Go(serveFunc(s.operator, operatorListener))
	}
	if err := c.linker.Bind(); err != nil {
		_ = l.Close()
		_ = s.operator.Close()
		return nil, errors.Wrap(err, "peers' listener")
	}
	g.Go(func() error { return r.serveCallers(c, s.callers, l) })
	return s, nil
}

// initialConfigWait is the time for which the first calls of an instance wait for its
// configuration, which takes milliseconds to read, in place of being refused.
const initialConfigWait = 300 * time.Millisecond

// serveCallers serves the callers' listener with the limits of the configuration.
func (r *Runner) serveCallers(c *components, s *http.Server, l net.Listener) error {
	if c.platform != nil {
		ctx, cancel := context.WithTimeout(context.Background(), initialConfigWait)
		c.awaitConfiguration(ctx)
		cancel()
		limits := c.routingTable.Load().Limits
		s.IdleTimeout = limits.Idle.Std()
		if d := limits.Read.Std(); d > 0 {
			s.ReadHeaderTimeout = d
		}
		if limits.Header > 0 {
			s.MaxHeaderBytes = limits.Header
		}
	}
	return serveFunc(s, l)()
}

func newHTTPServer(h http.Handler) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, Protocols: new(http.Protocols)}
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetUnencryptedHTTP2(true)
	return s
}

func serveFunc(s *http.Server, l net.Listener) func() error {
	return func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}
}

// readinessTask makes the instance ready once it has a bundle and has heard its peers.
func (r *Runner) readinessTask(ctx context.Context, c *components) func() error {
	return func() error {
		c.awaitConfiguration(ctx)
		if ctx.Err() != nil {
			return nil
		}
		c.members.SetReady(true)
		r.ready.Store(true)
		r.Log.Info().Stringer("callers", r.Address()).Msg("instance: ready")
		return nil
	}
}

// Reload takes over the parts of s that may change while the instance runs: the
// seeds and the retry budget. Other changes are logged and wait for the next start.
func (r *Runner) Reload(s *parser.Settings) {
	c := r.components.Load()
	if c == nil {
		return
	}
	next := s.WithDefaults()
	c.members.SetSeeds(next.Seeds)
	c.retrySettings.Store(&next.Retry)
	applied := *c.settings
	applied.Seeds, applied.Retry = next.Seeds, next.Retry
	r.Log.Info().Bool("pending", !reflect.DeepEqual(applied, next)).Int("seeds", len(next.Seeds)).Msg("instance: settings reloaded")
}

func (r *Runner) shutdown(c *components, s *httpServers) {
	r.ready.Store(false)
	c.members.Leave()
	c.handler.stopping.Store(true)
	settings := r.Settings.WithDefaults()
	notice := settings.Notice.Std()
	r.Log.Info().Dur("notice", notice).Msg("instance: stopping; calls are accepted until the notice ends")
	time.Sleep(notice)
	// Calls in flight finish within their own deadlines, and before the
	// process is ended by force.
	ctx, cancel := context.WithCancel(context.Background())
	if grace := settings.Grace.Std(); grace > 0 {
		ctx, cancel = context.WithTimeout(ctx, grace-notice-exitMargin)
	}
	defer cancel()
	if err := s.callers.Shutdown(ctx); err != nil {
		r.Log.Warn().Err(err).Msg("instance: calls are still in flight at the end of the grace time")
	}
	r.Log.Info().Msg("instance: stopped")
}
