package main

import "os"

// signalHandler ends the process in two steps, so that an operator can interrupt a
// graceful shutdown that takes too long.
type signalHandler struct {
	signals chan os.Signal
	cancel  func()
}

// handleSignals calls cancel on the first signal and ends the process on the second.
func (s *signalHandler) handleSignals() {
	<-s.signals
	s.cancel()
	<-s.signals
	exitProcess(exitSecondSignal)
}
