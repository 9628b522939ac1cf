package main

import (
	"context"
	"os"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/instance/runner"
)

type runCommand struct {
	Settings string `arg:"" type:"existingfile" help:"TOML settings file of the instance."`
}

// Run serves until the process is told to stop.
func (c *runCommand) Run(ctx context.Context) error {
	text, err := os.ReadFile(c.Settings)
	if err != nil {
		return err
	}
	s, err := parser.ParseSettings(c.Settings, text)
	if err != nil {
		return err
	}
	return (&runner.Runner{Settings: s}).Run(ctx)
}
