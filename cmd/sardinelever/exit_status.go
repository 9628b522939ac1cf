package main

import (
	"fmt"
	"os"

	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/config/parser"
)

const (
	kongUsageStatus = 80 // Status with which kong reports wrong arguments.
	exitUsage       = 2

	exitSecondSignal = 3 // A second SIGTERM or SIGINT cut off the graceful stop.
)

// exitProcess ends the process with code: 0 after success, 1 after a refusal or an
// error, 2 after wrong arguments, 3 after a second signal.
func exitProcess(code int) {
	if code == kongUsageStatus {
		code = exitUsage
	}
	os.Exit(code)
}

// printMistakes prints the mistakes in err, one on a line without prefix, and
// returns a short error; any other error is returned as it is.
func printMistakes(err error) error {
	var m *parser.MistakesError
	if !errors.As(err, &m) {
		return err
	}
	fmt.Fprintln(os.Stderr, m)
	return errors.Errorf("refused, mistakes: %d", len(m.Mistakes))
}
