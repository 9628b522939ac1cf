// Command sardinelever runs an instance of the load balancer between callers and
// backend servers. Its other subcommands are the tools for operators: they query an
// instance and create, check and compare configurations.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// commands defines the subcommands for kong.
type commands struct {
	Run     runCommand     `cmd:"" help:"Run an entry instance."`
	Status  statusCommand  `cmd:"" help:"Print an instance's view of configuration, fleet and backend servers."`
	Audit   auditCommand   `cmd:"" help:"Print an instance's audit trail of changes."`
	Explain explainCommand `cmd:"" help:"Print what an instance would do with a call."`
	Collect collectCommand `cmd:"" help:"Collect service files into a bundle."`
	Check   checkCommand   `cmd:"" help:"Check service files, bundles and settings."`
	Diff    diffCommand    `cmd:"" help:"Show the differences of two bundles."`
	Try     tryCommand     `cmd:"" help:"Run a whole deployment inside this process and print an account."`
}

const description = `Load balancer for servers whose load shifts in milliseconds.

Exit status: 0 success, 1 refusal or error, 2 wrong arguments, 3 ended at once by a second SIGTERM or SIGINT (an instance with the setting grace: by SIGINT).`

func main() {
	var c commands
	k := kong.Parse(&c, kong.Name("sardinelever"), kong.Description(description), kong.UsageOnError(), kong.Exit(exitProcess))
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	handler := &signalHandler{signals: make(chan os.Signal, 2), cancel: stop}
	signal.Notify(handler.signals, os.Interrupt, syscall.SIGTERM)
	go handler.handleSignals()
	k.BindTo(ctx, (*context.Context)(nil))
	k.Bind(handler)
	k.FatalIfErrorf(k.Run())
}
