package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/instance/runner"
	"sardinelever.example/sardinelever/internal/standin/stager"
)

type tryCommand struct {
	Calls int `default:"200" help:"Calls of each rank."`
}

// Run starts stand-ins and instances, sends calls of each rank and prints what became of them.
func (c *tryCommand) Run(ctx context.Context) error {
	s := &stager.Stager{Groups: []stager.Group{{Service: trialService(), Count: 4, Time: trialTime}}}
	if err := s.Start(); err != nil {
		return err
	}
	defer s.Stop()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	g, ctx := errgroup.WithContext(ctx)
	quiet := &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}}
	instance := &runner.Runner{Log: quiet, Settings: &parser.Settings{
		Name: "try-1", Zone: "a", Callers: netip.MustParseAddrPort("127.0.0.1:0"), Platform: s.URL,
		Notice: parser.Duration(10 * time.Millisecond), Plain: true,
	}}
	t := &trial{instance: instance, calls: c.Calls}
	g.Go(func() error { return instance.Run(ctx) })
	err := t.run(ctx)
	stop()
	return errors.Wrap(firstError(err, g.Wait()), "try")
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func trialTime() time.Duration { return 2 * time.Millisecond }

func trialService() parser.Service {
	return parser.Service{
		Name: "guidance", Slots: 2, Deadline: parser.Duration(2 * time.Second),
		Routes: []parser.Route{
			{Path: "/lookup", Rank: parser.Urgent, Idempotent: true},
			{Path: "/book", Methods: []string{http.MethodPost}, Rank: parser.Normal},
			{Path: "/bulk", Methods: []string{http.MethodPost}, Rank: parser.Patient},
		},
	}
}

// trial sends calls to an instance and counts the answers.
type trial struct {
	instance *runner.Runner
	calls    int
}

func (t *trial) run(ctx context.Context) error {
	for !t.instance.Ready() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(5 * time.Millisecond):
		}
	}
	for _, call := range []struct{ method, path string }{{"GET", "lookup"}, {"POST", "book"}, {"POST", "bulk"}} {
		served, err := t.send(ctx, call.method, call.path)
		if err != nil {
			return err
		}
		fmt.Printf("%-8s offered %d served %d\n", call.path, t.calls, served)
		if served != t.calls {
			return errors.Errorf("%s: %d of %d calls were served", call.path, served, t.calls)
		}
	}
	return nil
}

func (t *trial) send(ctx context.Context, method, path string) (served int, err error) {
	url := fmt.Sprintf("http://%s/guidance/%s", t.instance.Address(), path)
	for range t.calls {
		req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader("order"))
		if err != nil {
			return served, err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return served, err
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			served++
		}
	}
	return served, nil
}
