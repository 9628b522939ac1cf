package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/instance/runner"
	"sardinelever.example/sardinelever/internal/platform/reader"
	"sardinelever.example/sardinelever/internal/standin/launcher"
	"sardinelever.example/sardinelever/internal/standin/provisioner"
)

type tryCommand struct {
	Calls int `default:"200" help:"Calls of each rank."`
}

// trialInstanceCount is the number of instances of a trial, one in each availability
// zone.
const trialInstanceCount = 3

// Run starts stand-ins for the platform and the backend servers and several instances,
// sends calls of each rank, and prints how many were served. It returns an error if
// one was not.
func (c *tryCommand) Run(ctx context.Context) error {
	zones := []string{"a", "b", "c"}
	testbed := &provisioner.Testbed{Zones: zones, Groups: []provisioner.ServerGroup{{Service: trialService(), ServerCount: 6, ServiceTime: trialServiceTime}}}
	if err := testbed.Start(); err != nil {
		return err
	}
	defer testbed.Stop()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	g, ctx := errgroup.WithContext(ctx)
	t := &trial{calls: c.Calls}
	for i := range trialInstanceCount {
		settings, err := trialSettings(i, zones[i], testbed.PlatformURL)
		if err != nil {
			return err
		}
		testbed.ListEntries = append(testbed.ListEntries, reader.Entry{Name: settings.Name, Address: settings.Callers, PeerAddr: settings.Peers, Zone: settings.Zone, Region: "home"})
		r := &trialInstance{Instance: runner.Instance{Log: discardLogger, Settings: settings}, ctx: ctx}
		t.instances = append(t.instances, r)
		g.Go(r.run)
	}
	testbed.Platform.SetList(testbed.ListEntries)
	err := t.sendAllRanks(ctx)
	stop()
	return errors.Wrap(firstError(err, g.Wait()), "try")
}

// discardLogger discards all log lines.
var discardLogger = &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}}

// trialSettings returns the settings of instance i with reserved addresses.
func trialSettings(i int, zone, platform string) (*parser.Settings, error) {
	s := &parser.Settings{
		Name: fmt.Sprintf("try-%d", i+1), Zone: zone, Platform: platform,
		Notice: parser.Duration(10 * time.Millisecond), Plain: true,
	}
	return s, launcher.ReservePorts(s)
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func trialServiceTime() time.Duration { return 2 * time.Millisecond }

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

// trialInstance is an entry instance that runs in this process until ctx is done.
type trialInstance struct {
	runner.Instance
	ctx context.Context
}

func (t *trialInstance) run() error { return t.Run(t.ctx) }

// trial sends calls to the instances in turn and counts the successful responses.
type trial struct {
	instances []*trialInstance
	calls     int
}

// sendAllRanks waits until all instances are ready and sends calls of each rank.
func (t *trial) sendAllRanks(ctx context.Context) error {
	for _, r := range t.instances {
		for !r.Ready() {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(5 * time.Millisecond):
			}
		}
	}
	for _, call := range []struct{ method, path string }{{"GET", "lookup"}, {"POST", "book"}, {"POST", "bulk"}} {
		served, err := t.sendCalls(ctx, call.method, call.path)
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

// sendCalls sends the calls of one rank and returns how many were served.
func (t *trial) sendCalls(ctx context.Context, method, path string) (served int, err error) {
	for i := range t.calls {
		url := fmt.Sprintf("http://%s/guidance/%s", t.instances[i%len(t.instances)].CallersAddress(), path)
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

// Help returns the help text about the exit status.
func (tryCommand) Help() string {
	return "Exit status: 0 when every call was served; 1 when one was not; 2 for wrong arguments; 3 when a second signal cut off the stop."
}
