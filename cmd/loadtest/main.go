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

type commands struct {
	List       bool   `help:"List the scenarios and the question that each answers." xor:"do" required:""`
	Run        string `help:"Run the scenario NAME." placeholder:"NAME" xor:"do" required:""`
	Seed       uint64 `help:"Seed of arrivals, service times and failures." default:"1"`
	Instances  int    `help:"Number of entry instances." default:"16"`
	Deployment string `help:"Deployment to imitate." enum:"association,fondantier" default:"association"`
	Report     string `help:"Folder for a report and a plot." type:"existingdir" placeholder:"DIR"`
	Policy     string `help:"Dispatch policy of the instances." enum:"grant,random,round,least," default:""`
}

func main() {
	var c commands
	k := kong.Parse(&c, kong.Name("loadtest"), kong.Description("Measures the load balancer on loopback."), kong.UsageOnError())
	if c.List {
		scenarist.List(os.Stdout)
		return
	}
	ok, err := c.run()
	k.FatalIfErrorf(err)
	if !ok {
		os.Exit(1)
	}
}

// run builds the program once and runs the scenario; all processes have ended
// when it returns, after a signal too.
func (c *commands) run() (bool, error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if c.Instances < 1 || c.Instances > 64 {
		return false, errors.Errorf("instances: %d is not from 1 to 64", c.Instances)
	}
	dir, err := os.MkdirTemp("", "loadtest-")
	if err != nil {
		return false, err
	}
	// The logs of a failed run are kept to find the fault.
	_, _ = fmt.Fprintln(os.Stderr, "logs of the instances are in "+dir)
	l := &launcher.Launcher{Dir: dir}
	if err := l.BuildBinary(); err != nil {
		return false, err
	}
	r := &scenarist.Runner{
		Seed: c.Seed, Instances: c.Instances, Deployment: c.Deployment, Policy: c.Policy,
		Report: c.Report, Binary: l, Out: os.Stdout,
	}
	ok, err := r.Run(ctx, c.Run)
	if ok {
		_ = os.RemoveAll(dir)
		return true, nil
	}
	return ok, err
}
