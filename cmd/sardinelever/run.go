package main

import (
	"context"
	"os"

	"github.com/phuslu/log"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/instance/runner"
	"sardinelever.example/sardinelever/internal/operator/logger"
	"sardinelever.example/sardinelever/platform"
)

type runCommand struct {
	Settings string `arg:"" help:"TOML settings file of the instance."`
}

// Run serves until the process is told to stop by SIGTERM or SIGINT. A second
// signal ends the process at once.
func (c *runCommand) Run(ctx context.Context) error {
	text, err := os.ReadFile(c.Settings)
	if err != nil {
		return err
	}
	s, err := parser.ParseSettings(c.Settings, text)
	if err != nil {
		return refuse(err)
	}
	// Parts without a Log of their own write to the default one.
	log.DefaultLogger.SetLevel(log.ParseLevel(s.Level))
	log.DefaultLogger.Writer = &log.IOWriter{Writer: &logger.Writer{Out: os.Stdout}}
	r := &runner.Runner{Settings: s}
	if s.Dialect == "cymdeithas" {
		if r.Platform, err = platform.New(s); err != nil {
			return err
		}
	}
	return r.Run(ctx)
}

// Help returns the exit codes.
func (runCommand) Help() string {
	return "Exit status: 0 after a graceful stop by SIGTERM or SIGINT; 1 when the settings are refused (every mistake is printed) or the instance fails; 2 for wrong arguments; 3 when a second signal cut off the stop."
}
