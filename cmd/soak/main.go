// Command soak tests the load balancer under random failures: it starts instances
// as processes on the loopback interface, injects failures of many kinds at random
// times and checks what callers and backend servers observe.
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/load/scenarist"
	"sardinelever.example/sardinelever/internal/standin/launcher"
)

// options are the command line flags; kong derives the names of the flags from the
// names of the fields.
type options struct {
	Seed       uint64        `help:"First seed; 0 takes one from the clock." default:"0"`
	Seeds      uint64        `help:"Number of seeds, one after the other." default:"1"`
	Time       time.Duration `help:"Time with failures for each seed." default:"20s"`
	Instances  int           `help:"Number of entry instances." default:"6"`
	Deployment string        `help:"Deployment to imitate." enum:"association,fondantier" default:"association"`
}

// errSeedsFailed is the error of a run in which at least one seed failed.
var errSeedsFailed = errors.New("seeds failed")

func main() {
	var o options
	k := kong.Parse(&o, kong.Name("soak"), kong.Description("Lets failures come at random and checks what must hold."), kong.UsageOnError())
	k.FatalIfErrorf(o.soakSeeds())
}

// soakSeeds builds the load balancer once and runs the soak scenario with each
// seed. All processes that it started have ended when it returns, also after an
// interrupt or termination signal. It returns an error if a seed failed.
func (o *options) soakSeeds() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if o.Instances < 3 || o.Instances > 64 {
		return errors.Errorf("instances: %d is not from 3 to 64", o.Instances)
	}
	if o.Seed == 0 {
		o.Seed = uint64(time.Now().UnixNano())
	}
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		return err
	}
	l := &launcher.Launcher{Dir: dir}
	if err := l.BuildBinary(); err != nil {
		return err
	}
	failed := 0
	for seed := o.Seed; seed < o.Seed+o.Seeds && ctx.Err() == nil; seed++ {
		if !o.soakSeed(ctx, l, seed) {
			failed++
		}
	}
	if failed > 0 {
		// The logs of failed seeds are kept, so that the failures can be investigated.
		return errors.Wrapf(errSeedsFailed, "%d of %d, logs are in %s", failed, o.Seeds, dir)
	}
	return os.RemoveAll(dir)
}

// soakSeed runs the soak scenario with seed and reports whether it passed. It
// prints one line with the result, preceded by the report of the scenario if that
// failed.
func (o *options) soakSeed(ctx context.Context, l *launcher.Launcher, seed uint64) bool {
	var out bytes.Buffer
	seedLauncher := *l
	seedLauncher.Dir = filepath.Join(l.Dir, fmt.Sprint(seed))
	if err := os.Mkdir(seedLauncher.Dir, 0o700); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return false
	}
	r := &scenarist.Runner{
		Seed: seed, InstanceCount: o.Instances, DeploymentName: o.Deployment, SoakDuration: o.Time, Launcher: &seedLauncher, Output: &out,
	}
	ok, err := r.Run(ctx, "soak")
	if ok && err == nil {
		_ = os.RemoveAll(seedLauncher.Dir)
		fmt.Printf("seed %d: pass\n", seed)
		return true
	}
	fmt.Printf("%s\nseed %d: fail %v\n", &out, seed, err)
	return false
}
