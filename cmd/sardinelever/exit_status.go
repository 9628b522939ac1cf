package main

import (
	"fmt"
	"os"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/config/parser"
)

const (
	kongUsageStatus = 80 // Exit status that kong uses for wrong arguments.
	exitUsage       = 2

	exitSecondSignal = 3 // A second SIGTERM or SIGINT ended the graceful shutdown.
)

// exitProcess ends the process with status code. It replaces the status that kong
// uses for wrong arguments by 2. The other statuses are 0 after success, 1 after a
// refusal or an error, and 3 after a second signal.
func exitProcess(code int) {
	if code == kongUsageStatus {
		code = exitUsage
	}
	os.Exit(code)
}

// printMistakes prints the mistakes in err to standard error, each on its own line
// without a prefix, and returns an error with their number. It returns any other
// error unchanged.
func printMistakes(err error) error {
	var m *parser.MistakesError
	if !errors.As(err, &m) {
		return err
	}
	fmt.Fprintln(os.Stderr, m)
	return errors.Errorf("refused, mistakes: %d", len(m.Mistakes))
}
