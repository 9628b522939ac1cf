package main

import "os"

// signalHandler ends the process in two steps, so that an operator can cut off
// a graceful stop that takes too long.
type signalHandler struct {
	signals chan os.Signal
	cancel  func()
}

// handleSignals calls stop on the first signal and exits at once on the second.
func (s *signalHandler) handleSignals() {
	<-s.signals
	s.cancel()
	<-s.signals
	exitProcess(exitSecondSignal)
}
