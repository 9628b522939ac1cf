// Command loadtest measures the load balancer on loopback: it starts real
// instance processes, drives calls and compares the figures with the targets.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/load/scenarist"
	"sardinelever.example/sardinelever/internal/standin/launcher"
)

type options struct {
	List       bool   `help:"List the scenarios and the question that each answers." xor:"do" required:""`
	Run        string `help:"Run the scenario NAME." placeholder:"NAME" xor:"do" required:""`
	Seed       uint64 `help:"Seed of arrivals, service times and failures." default:"1"`
	Instances  int    `help:"Number of entry instances." default:"16"`
	Deployment string `help:"Deployment to imitate." enum:"association,fondantier" default:"association"`
	Report     string `help:"Folder for a report and a plot." type:"existingdir" placeholder:"DIR"`
	Policy     string `help:"Dispatch policy of the instances." enum:"grant,random,round,least," default:""`
}

func main() {
	var o options
	k := kong.Parse(&o, kong.Name("loadtest"), kong.Description("Measures the load balancer on loopback."), kong.UsageOnError())
	if o.List {
		scenarist.List(os.Stdout)
		return
	}
	ok, err := o.runScenario()
	k.FatalIfErrorf(err)
	if !ok {
		os.Exit(1)
	}
}

// runScenario builds the program once and runs the scenario; all processes have ended
// when it returns, after a signal too.
func (o *options) runScenario() (bool, error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if o.Instances < 1 || o.Instances > 64 {
		return false, errors.Errorf("instances: %d is not from 1 to 64", o.Instances)
	}
	dir, err := os.MkdirTemp("", "loadtest-")
	if err != nil {
		return false, err
	}
	// The logs of a failed run are kept to find the fault.
	_, _ = fmt.Fprintln(os.Stderr, "logs of the instances are in "+dir)
	l := &launcher.Launcher{Dir: dir}
	if err := l.Build(); err != nil {
		return false, err
	}
	r := &scenarist.Runner{
		Seed: o.Seed, Instances: o.Instances, Deployment: o.Deployment, Policy: o.Policy,
		Report: o.Report, Binary: l, Out: os.Stdout,
	}
	ok, err := r.Run(ctx, o.Run)
	if ok {
		_ = os.RemoveAll(dir)
		return true, nil
	}
	return ok, err
}
