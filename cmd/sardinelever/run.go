package main

import (
	"context"
	stdlog "log"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/phuslu/log"

	"sardinelever.example/sardinelever/internal/config/parser"
	"sardinelever.example/sardinelever/internal/instance/runner"
	"sardinelever.example/sardinelever/internal/operator/logger"
	"sardinelever.example/sardinelever/platform"
)

type runCommand struct {
	Settings string `arg:"" help:"TOML settings file of the instance."`
}

// memoryLimitFraction is the part of the setting memory that becomes the memory limit
// of the Go runtime, above which it collects garbage continuously. The rest is for
// kernel buffers, for the program itself, about 9 MB, and for garbage that is collected
// late. Clients may hold 40% (package limiter), so an ordinary load does not reach it.
const memoryLimitFraction = 0.65

// logFlushTimeout is the longest time that the process waits at its end for its last log
// lines to be written. It is within the time that a shutdown leaves for the exit.
const logFlushTimeout = 100 * time.Millisecond

// Run runs an instance until SIGTERM or SIGINT starts a graceful shutdown. A second
// signal ends the process at once; with the setting grace only SIGINT does, because the
// shutdown ends in that time. SIGHUP reloads the settings.
func (c *runCommand) Run(ctx context.Context, handler *signalHandler) error {
	text, err := os.ReadFile(c.Settings)
	if err != nil {
		return err
	}
	settings, err := parser.ParseSettings(c.Settings, text)
	if err != nil {
		return printMistakes(err)
	}
	handler.bounded.Store(settings.Grace > 0)
	// Components without their own logger use the default one.
	log.DefaultLogger.SetLevel(log.ParseLevel(settings.Level))
	lines := &logger.Writer{Output: os.Stdout}
	defer lines.Flush(logFlushTimeout)
	log.DefaultLogger.Writer = &log.IOWriter{Writer: lines}
	stdlog.SetFlags(0) // The lines of the log have their own time.
	stdlog.SetOutput(&logger.StandardWriter{})
	if settings.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.Memory) * (1 << 20)))
	}
	logWarnings(settings)
	instance := &runner.Instance{Settings: settings}
	if settings.Dialect == "cymdeithas" {
		if instance.Platform, err = platform.New(settings); err != nil {
			return err
		}
	}
	reloader := &settingsReloader{path: c.Settings, instance: instance, signals: make(chan os.Signal, 1), text: text}
	signal.Notify(reloader.signals, syscall.SIGHUP)
	go reloader.run()
	return instance.Run(ctx)
}

// Help returns the help text about the exit status.
func (runCommand) Help() string {
	return "Exit status: 0 after a graceful stop by SIGTERM or SIGINT; 1 when the settings are refused (every mistake is printed) or the instance fails; 2 for wrong arguments; 3 when a second signal cut off the stop."
}
