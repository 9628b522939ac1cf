package main

import "os"

// interrupter ends the process in two steps, so that an operator can cut off
// a graceful stop that takes too long.
type interrupter struct {
	signals chan os.Signal
	stop    func()
}

// loop calls stop on the first signal and exits at once on the second.
func (i *interrupter) loop() {
	<-i.signals
	i.stop()
	<-i.signals
	exit(exitSignal)
}
