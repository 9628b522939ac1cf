// Command soak runs instances as processes on loopback while failures of all
// kinds come at random, and checks what callers and backend servers see.
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

type commands struct {
	Seed       uint64        `help:"First seed; 0 takes one from the clock." default:"0"`
	Seeds      uint64        `help:"Number of seeds, one after the other." default:"1"`
	Time       time.Duration `help:"Time with failures for each seed." default:"20s"`
	Instances  int           `help:"Number of entry instances." default:"6"`
	Deployment string        `help:"Deployment to imitate." enum:"association,fondantier" default:"association"`
}

var errFailed = errors.New("seeds failed")

func main() {
	var c commands
	k := kong.Parse(&c, kong.Name("soak"), kong.Description("Lets failures come at random and checks what must hold."), kong.UsageOnError())
	k.FatalIfErrorf(c.run())
}

// run builds the program once and soaks each seed; all processes have ended
// when it returns, after a signal too.
func (c *commands) run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if c.Instances < 3 || c.Instances > 64 {
		return errors.Errorf("instances: %d is not from 3 to 64", c.Instances)
	}
	if c.Seed == 0 {
		c.Seed = uint64(time.Now().UnixNano())
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
	for seed := c.Seed; seed < c.Seed+c.Seeds && ctx.Err() == nil; seed++ {
		if !c.soak(ctx, l, seed) {
			failed++
		}
	}
	if failed > 0 {
		// The logs of failed seeds are kept to find the fault.
		return errors.Wrapf(errFailed, "%d of %d, logs are in %s", failed, c.Seeds, dir)
	}
	return os.RemoveAll(dir)
}

// soak runs one seed, prints its report when it fails and its last line always.
func (c *commands) soak(ctx context.Context, l *launcher.Launcher, seed uint64) bool {
	var out bytes.Buffer
	own := *l
	own.Dir = filepath.Join(l.Dir, fmt.Sprint(seed))
	if err := os.Mkdir(own.Dir, 0o700); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return false
	}
	r := &scenarist.Runner{
		Seed: seed, Instances: c.Instances, Deployment: c.Deployment, Time: c.Time, Binary: &own, Out: &out,
	}
	ok, err := r.Run(ctx, "soak")
	if ok && err == nil {
		_ = os.RemoveAll(own.Dir)
		fmt.Printf("seed %d: pass\n", seed)
		return true
	}
	fmt.Printf("%s\nseed %d: fail %v\n", &out, seed, err)
	return false
}
