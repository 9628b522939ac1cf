package main

import (
	"os"
	"sync/atomic"
	"syscall"

	"github.com/phuslu/log"
)

// signalHandler ends the process in two steps, so that an operator can interrupt a
// graceful shutdown that takes too long.
type signalHandler struct {
	signals chan os.Signal
	cancel  func()
	bounded atomic.Bool // The shutdown ends by itself in time, so a further SIGTERM does not interrupt it.
}

// handleSignals calls cancel on the first signal and ends the process on the second.
func (s *signalHandler) handleSignals() {
	<-s.signals
	s.cancel()
	for received := range s.signals {
		if received != syscall.SIGTERM || !s.bounded.Load() {
			exitProcess(exitSecondSignal)
		}
		log.Warn().Msg("instance: further SIGTERM ignored; the stop ends within the grace time")
	}
}
