// Command lab plays one case of the review: it starts the processes of the program, with
// stand-ins for the platform's store, the backends and the clients, and checks a rule.
//
// Usage: lab CASE RECORD. It exits with 1 if the rule was broken, 0 if it held and 2 if
// the case could not run. With TROUBLE=0 in the environment it plays without the disruption.
package main

import (
	"fmt"
	"os"
)

// trouble reports whether the disruption is played.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// closers are called before the program ends.
var closers []func()

func exit(status int) {
	for i := len(closers) - 1; i >= 0; i-- {
		closers[i]()
	}
	os.Exit(status)
}

func cannotRun(format string, args ...any) {
	fmt.Printf("the case cannot run: "+format+"\n", args...)
	exit(2)
}

var cases = map[string]func(r *recorder) (broken bool){
	"restart": playRestart,
	"pages":   playPages,
	"route":   playRoute,
	"hold":    playHold,
	"path":    playPath,
	"slow":    playSlow,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: lab CASE RECORD")
		os.Exit(2)
	}
	r := newRecorder(os.Args[2])
	closers = append(closers, r.close)
	if cases[os.Args[1]](r) {
		r.say("the rule was broken")
		exit(1)
	}
	r.say("the rule held")
	exit(0)
}
