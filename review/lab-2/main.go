// Command lab2 runs the scripted cases of the second review. It starts the programs of
// the project as separate processes and plays the store, the backend servers and the
// clients of the platform on loopback addresses.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the number of a case to its play. The play returns true if the rule broke.
var cases = map[string]func(*lab, bool) (bool, error){}

func main() {
	dir := flag.String("dir", ".", "folder of the record")
	root := flag.String("root", ".", "root of the repository")
	flag.Parse()
	play := cases[flag.Arg(0)]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitNotRun)
	}
	l, err := newLab(*root, *dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		l.close()
		os.Exit(exitNotRun)
	}()
	code := run(l, play)
	l.close()
	os.Exit(code)
}

func run(l *lab, play func(*lab, bool) (bool, error)) int {
	broken, err := play(l, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		l.note("not run: %v", err)
		return exitNotRun
	case broken:
		l.note("result: the rule was broken")
		return exitBroken
	}
	l.note("result: the rule held")
	return exitHeld
}
