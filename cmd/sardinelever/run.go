package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/phuslu/log"

	"sardinelever.example/sardinelever/internal/instance/runner"
	"sardinelever.example/sardinelever/internal/operator/logger"
	"sardinelever.example/sardinelever/platform"
)

type runCommand struct {
	Settings string `arg:"" help:"TOML settings file of the instance."`
}

// memoryShare is the part of the setting memory above which the runtime collects
// garbage without pause; the rest holds buffers of the kernel and stacks.
const memoryShare = 0.7

// Run serves until the process is told to stop by SIGTERM or SIGINT. A second
// signal ends the process at once. SIGHUP reads the settings again.
func (c *runCommand) Run(ctx context.Context) error {
	s, err := readSettings(c.Settings)
	if err != nil {
		return refuse(err)
	}
	// Parts without a Log of their own write to the default one.
	log.DefaultLogger.SetLevel(log.ParseLevel(s.Level))
	log.DefaultLogger.Writer = &log.IOWriter{Writer: &logger.Writer{Out: os.Stdout}}
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.Memory) * (1 << 20)))
	}
	r := &runner.Runner{Settings: s}
	if s.Dialect == "cymdeithas" {
		if r.Platform, err = platform.New(s); err != nil {
			return err
		}
	}
	reload := &reloader{path: c.Settings, runner: r, signals: make(chan os.Signal, 1)}
	signal.Notify(reload.signals, syscall.SIGHUP)
	go reload.loop()
	return r.Run(ctx)
}

// Help returns the exit codes.
func (runCommand) Help() string {
	return "Exit status: 0 after a graceful stop by SIGTERM or SIGINT; 1 when the settings are refused (every mistake is printed) or the instance fails; 2 for wrong arguments; 3 when a second signal cut off the stop."
}
