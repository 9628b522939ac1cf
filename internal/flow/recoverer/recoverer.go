package recoverer

import (
	"fmt"
	"runtime/debug"
	"sync/atomic"

	"github.com/phuslu/log"
)

var count atomic.Uint64

// Count returns the number of panics that Catch has caught in this process.
func Count() uint64 { return count.Load() }

// Catch ends a panic of the function that defers it, logs it with its stack and calls
// then, unless that is nil. The duty says what the function does. Catch has to be
// deferred itself, after the locks that the function holds.
func Catch(duty string, then func()) {
	p := recover()
	if p == nil {
		return
	}
	count.Add(1)
	log.Error().Str("duty", duty).Str("panic", fmt.Sprint(p)).Bytes("stack", debug.Stack()).Msg("instance: panic caught")
	if then != nil {
		then()
	}
}
