package runner

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"sardinelever.example/sardinelever/internal/call/answerer"
	"sardinelever.example/sardinelever/internal/call/deduper"
	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/platform/reader"
	"sardinelever.example/sardinelever/internal/route/asker"
	"sardinelever.example/sardinelever/internal/route/mapper"
)

// Runner is an entry instance; Settings and Log are set before Run.
type Runner struct {
	Settings *parser.Settings
	Log      *log.Logger      // nil means log.DefaultLogger.
	Deduper  *deduper.Deduper // nil runs identified calls like those without an identity.

	maps  mapper.Holder
	ready atomic.Bool
	addr  atomic.Pointer[netip.AddrPort]
}

const defaultNotice = 5 * time.Second

// Ready reports whether the instance accepts new calls.
func (r *Runner) Ready() bool { return r.ready.Load() }

// Address returns the address of the callers' listener, the zero value before Run has opened it.
func (r *Runner) Address() netip.AddrPort {
	if a := r.addr.Load(); a != nil {
		return *a
	}
	return netip.AddrPort{}
}

// Run serves until ctx is done, then shuts down gracefully: readiness turns
// false, the listener serves for the notice, calls in flight finish.
func (r *Runner) Run(ctx context.Context) error {
	if r.Log == nil {
		r.Log = &log.DefaultLogger
	}
	l, err := net.Listen("tcp", r.Settings.Callers.String())
	if err != nil {
		return errors.Wrap(err, "callers' listener")
	}
	addr := l.Addr().(*net.TCPAddr).AddrPort()
	r.addr.Store(&addr)
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, work := errgroup.WithContext(work)
	g.Go(r.bind(work, r.loop))
	server := &http.Server{Handler: r.handler(), ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: 64 << 10}
	g.Go(r.serve(server, l))
	operator, err := r.listenOperator(g)
	if err != nil {
		stop()
		return err
	}
	defer func() { _ = operator.Close() }()
	<-ctx.Done()
	r.shutdown(server)
	_ = operator.Close()
	stop()
	return errors.Wrap(g.Wait(), "instance")
}

func (r *Runner) bind(ctx context.Context, loop func(context.Context) error) func() error {
	return func() error { return loop(ctx) }
}

func (r *Runner) serve(s *http.Server, l net.Listener) func() error {
	return func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}
}

// listenOperator opens the operators' listener, if the settings name one.
func (r *Runner) listenOperator(g *errgroup.Group) (*http.Server, error) {
	server := &http.Server{Handler: http.HandlerFunc(r.serveReady), ReadHeaderTimeout: 5 * time.Second}
	if !r.Settings.Operator.IsValid() {
		return server, nil
	}
	l, err := net.Listen("tcp", r.Settings.Operator.String())
	if err != nil {
		return nil, errors.Wrap(err, "operators' listener")
	}
	g.Go(r.serve(server, l))
	return server, nil
}

func (r *Runner) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !r.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (r *Runner) shutdown(s *http.Server) {
	r.ready.Store(false)
	notice := r.Settings.Notice.Std()
	if notice == 0 {
		notice = defaultNotice
	}
	r.Log.Info().Dur("notice", notice).Msg("instance: stops; listener serves for the notice")
	time.Sleep(notice)
	// No timeout: calls in flight finish within their own deadlines.
	_ = s.Shutdown(context.Background())
	r.Log.Info().Msg("instance: stopped")
}

// loop follows the platform and stores what it says as the current map.
func (r *Runner) loop(ctx context.Context) error {
	c := &reader.Client{Base: r.Settings.Platform}
	var bundle *parser.Bundle
	var revision uint64
	for ctx.Err() == nil {
		list, err := c.List(ctx)
		if err == nil {
			r.maps.Store(mapper.Join(bundle, list))
		}
		v, err := c.Config(ctx, revision, time.Second)
		if err != nil {
			r.Log.Warn().Err(err).Msg("platform: cannot be read")
			time.Sleep(time.Second)
			continue
		}
		if v == nil {
			continue
		}
		revision = v.Revision
		b, err := parser.ParseBundle("bundle", v.Text)
		if err != nil {
			r.Log.Error().Err(err).Msg("config: bundle refused")
			continue
		}
		bundle = b
		r.maps.Store(mapper.Join(bundle, list))
		r.ready.Store(true)
		r.Log.Info().Uint64("version", b.Version).Msg("config: in force")
	}
	return nil
}

func (r *Runner) handler() http.Handler {
	p := &pipe{maps: &r.maps, asker: &asker.Asker{Map: &r.maps}, answer: answerer.Answerer{Instance: r.Settings.Name}}
	if r.Deduper != nil {
		p.identify(r.Deduper)
	}
	return p
}
