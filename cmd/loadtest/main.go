// Command loadtest measures the load balancer on the loopback interface: it
// starts instances as processes, sends them the calls of a scenario and compares
// the results with the targets of that scenario. It exits with status 1 if a
// target is missed.
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

// options are the command line flags; kong derives the names of the flags from the
// names of the fields.
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
		scenarist.ListScenarios(os.Stdout)
		return
	}
	ok, err := o.runScenario()
	k.FatalIfErrorf(err)
	if !ok {
		os.Exit(1)
	}
}

// runScenario builds the load balancer, runs the scenario and reports whether it
// passed. All processes that it started have ended when it returns, also after an
// interrupt or termination signal.
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
	// The logs are deleted only after a pass, so that a failure can be investigated.
	_, _ = fmt.Fprintln(os.Stderr, "logs of the instances are in "+dir)
	l := &launcher.Launcher{Dir: dir}
	if err := l.BuildBinary(); err != nil {
		return false, err
	}
	r := &scenarist.Runner{
		Seed: o.Seed, InstanceCount: o.Instances, DeploymentName: o.Deployment, Policy: o.Policy,
		ReportDir: o.Report, Launcher: l, Output: os.Stdout,
	}
	ok, err := r.Run(ctx, o.Run)
	if ok {
		_ = os.RemoveAll(dir)
		return true, nil
	}
	return ok, err
}
