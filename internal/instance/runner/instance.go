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
	"sardinelever.example/sardinelever/internal/config/keeper"
	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/instance/limiter"
	"sardinelever.example/sardinelever/internal/platform/watcher"
)

// Instance is an entry instance. Its exported fields are set before Run.
type Instance struct {
	Settings *parser.Settings
	Log      *log.Logger      // nil means log.DefaultLogger.
	Platform *PlatformAdapter // nil means the native formats.

	ready       atomic.Bool
	callersAddr atomic.Pointer[netip.AddrPort]
	components  atomic.Pointer[components]
}

const (
	// readHeaderTimeout limits the time in which a client sends the header of a request.
	readHeaderTimeout = 5 * time.Second
	// maxHeaderBytes is the size limit of a request header.
	maxHeaderBytes = 64 << 10
	// peerConfigTimeout is how long a new instance waits for the configuration of
	// other instances before it relies on the platform alone.
	peerConfigTimeout = 3 * time.Second
	// exitMargin is how long before the end of Settings.Grace, which is the time from
	// SIGTERM to the forced end of the process, shutdown stops waiting for calls. The
	// process exits in that time.
	exitMargin = 300 * time.Millisecond
)

// PlatformAdapter reads the records of a platform and translates its message formats.
type PlatformAdapter struct {
	Store   watcher.Store
	Decoder watcher.Decoder
	Format  keeper.Format // Format of the bundles in the records.
	Dialect translator.Dialect
	// Evacuates is set if the operator may evacuate zones, so that requests wait for
	// confirmed records after a start or a long pause.
	Evacuates bool
}

// ErrInstanceFailed reports that the instance could not start or stopped because of
// a failure.
var ErrInstanceFailed = errors.New("instance failed")

// Ready reports whether new calls should be sent to the instance. It becomes
// false at the start of a shutdown, when calls are still accepted.
func (i *Instance) Ready() bool { return i.ready.Load() }

// CallersAddress returns the address of the listener for callers. It is the zero
// value until Run has opened the listener.
func (i *Instance) CallersAddress() netip.AddrPort {
	if a := i.callersAddr.Load(); a != nil {
		return *a
	}
	return netip.AddrPort{}
}

// Run serves calls until ctx is done and then shuts down: readiness becomes false,
// calls are accepted for the notice time of the settings, and calls in flight
// finish. The error wraps ErrInstanceFailed.
func (i *Instance) Run(ctx context.Context) error {
	if i.Log == nil {
		i.Log = &log.DefaultLogger
	}
	settings := i.Settings.WithDefaults()
	taskCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, taskCtx := errgroup.WithContext(taskCtx)
	i.Log.Info().Str("name", settings.Name).Str("zone", settings.Zone).Str("dialect", settings.Dialect).
		Int("seeds", len(settings.Seeds)).Msg("instance: starting")
	c := newComponents(&settings, i.Platform, i.Log)
	var endCalls context.CancelFunc
	c.handler.callsEnded, endCalls = context.WithCancel(context.Background())
	defer endCalls()
	i.components.Store(c)
	servers, err := i.listen(c, g)
	if err != nil {
		return wrapFailure(err)
	}
	for _, task := range c.backgroundTasks() {
		g.Go(bindContext(taskCtx, task))
	}
	g.Go(i.readinessTask(taskCtx, c))
	select {
	case <-ctx.Done():
		i.shutdown(c, servers, endCalls)
	case <-taskCtx.Done():
	}
	_ = servers.operator.Close()
	stop()
	return wrapFailure(g.Wait())
}

// wrapFailure returns ErrInstanceFailed with the text of err, or nil.
func wrapFailure(err error) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(ErrInstanceFailed, err.Error())
}

// bindContext returns task with ctx as its argument.
func bindContext(ctx context.Context, task func(context.Context) error) func() error {
	return func() error { return task(ctx) }
}

// httpServers are the HTTP servers of an instance.
type httpServers struct {
	callers, operator *http.Server
	callersListener   net.Listener
	callerConns       connTracker
}

// listen opens the listeners for callers, operators and other instances and starts
// to serve them in g.
func (i *Instance) listen(c *components, g *errgroup.Group) (*httpServers, error) {
	l, err := net.Listen("tcp", i.Settings.Callers.String())
	if err != nil {
		return nil, errors.Wrap(err, "callers' listener")
	}
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	i.callersAddr.Store(&addr)
	s := &httpServers{callers: newHTTPServer(&c.handler), operator: newHTTPServer(c.newReporter(i.Ready).Handler()), callersListener: l}
	s.callers.ConnState = s.callerConns.setState
	c.limitServers(s)
	if i.Settings.Operator.IsValid() {
		operatorListener, err := net.Listen("tcp", i.Settings.Operator.String())
		if err != nil {
			_ = l.Close()
			return nil, errors.Wrap(err, "operators' listener")
		}
		g.Go(serveFunc(s.operator, c.limiter.Listen(operatorListener, limiter.Operators)))
	}
	if err := c.connector.Bind(); err != nil {
		_ = l.Close()
		_ = s.operator.Close()
		return nil, errors.Wrap(err, "peers' listener")
	}
	g.Go(func() error { return i.serveCallers(c, s.callers, c.limiter.Listen(l, limiter.Callers)) })
	return s, nil
}

// initialConfigWait limits how long the listener for callers, which is already open,
// waits for the configuration before it is served. The configuration is usually read
// within milliseconds; without the wait the first calls would be refused.
const initialConfigWait = 300 * time.Millisecond

// serveCallers serves the listener for callers. With a PlatformAdapter, the timeouts of
// connections come from the configuration that is known when the listener is first
// served. The limits of header and body are those of the configuration in force.
func (i *Instance) serveCallers(c *components, s *http.Server, l net.Listener) error {
	if c.platform != nil {
		ctx, cancel := context.WithTimeout(context.Background(), initialConfigWait)
		c.awaitConfiguration(ctx)
		cancel()
		limits := c.routingTable.Load().Limits
		s.IdleTimeout = limits.Idle.AsDuration()
		if d := limits.Read.AsDuration(); d > 0 {
			s.ReadHeaderTimeout = d
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

// serveFunc returns a function that serves l until s is closed or shut down.
func serveFunc(s *http.Server, l net.Listener) func() error {
	return func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			return err
		}
		return nil
	}
}

// readinessTask returns a task that makes the instance ready when it has a bundle
// and has asked the other instances for theirs.
func (i *Instance) readinessTask(ctx context.Context, c *components) func() error {
	return func() error {
		c.awaitConfiguration(ctx)
		if ctx.Err() != nil {
			return nil
		}
		c.members.SetReady(true)
		i.ready.Store(true)
		i.Log.Info().Stringer("callers", i.CallersAddress()).Msg("instance: ready")
		return nil
	}
}

// ReloadSettings applies the settings in s that can change while the instance runs:
// the seeds and the retry budget. Other changes take effect at the next start; the
// log line has pending=true when there are any.
func (i *Instance) ReloadSettings(s *parser.Settings) {
	c := i.components.Load()
	if c == nil {
		return
	}
	next := s.WithDefaults()
	c.members.SetSeeds(next.Seeds)
	c.retrySettings.Store(&next.Retry)
	applied := *c.settings
	applied.Seeds, applied.Retry = next.Seeds, next.Retry
	i.Log.Info().Bool("pending", !reflect.DeepEqual(applied, next)).Int("seeds", len(next.Seeds)).Msg("instance: settings reloaded")
}

// shutdown announces that the instance leaves, still accepts calls for
// Settings.Notice, and then waits until the calls in flight have finished. With
// Settings.Grace it ends those that are left in time for their answers and returns
// before its end.
func (i *Instance) shutdown(c *components, s *httpServers, endCalls func()) {
	settings := i.Settings.WithDefaults()
	period := newStopPeriod(time.Now(), settings.Notice.AsDuration(), settings.Grace.AsDuration())
	i.ready.Store(false)
	c.members.Leave()
	c.handler.stopping.Store(period)
	before := c.handler.inFlight.Load()
	i.Log.Info().Dur("notice", period.notice).Int64("calls", before).Msg("instance: stopping; calls are accepted until the notice ends")
	time.Sleep(period.notice)
	ctx, cancel := context.WithCancel(context.Background())
	if !period.end.IsZero() {
		ctx, cancel = context.WithDeadline(ctx, period.end)
		defer time.AfterFunc(time.Until(period.callsEnd), endCalls).Stop()
	}
	defer cancel()
	_ = s.callersListener.Close()
	s.callerConns.awaitUnused(ctx)
	if err := s.callers.Shutdown(ctx); err != nil {
		i.Log.Warn().Err(err).Msg("instance: calls are still in flight at the end of the grace time")
	}
	i.Log.Info().Dur("took", time.Since(period.start)).Int64("calls", before).Int64("accepted", period.accepted.Load()).Int64("rejected", period.rejected.Load()).
		Int64("ended", period.ended.Load()).Int64("left", c.handler.inFlight.Load()).Msg("instance: stopped")
}
