package worker

import (
	"sync"
	"time"
)

// Ledger counts how often each call and each attempt ran over all workers of
// a trial. The zero value is ready to use; a nil Ledger counts nothing.
type Ledger struct {
	mu       sync.Mutex
	calls    map[string]int
	first    map[string]time.Time
	attempts map[string]int
}

// Calls returns the number of runs of the call.
func (l *Ledger) Calls(call string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls[call]
}

// First returns when the call first ran, and false when it did not run.
func (l *Ledger) First(call string) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.first[call]
	return at, ok
}

// Attempts returns the number of runs of one attempt.
func (l *Ledger) Attempts(token string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.attempts[token]
}

func (l *Ledger) note(call, token string) {
	if l == nil || call == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.calls == nil {
		l.calls, l.attempts, l.first = make(map[string]int), make(map[string]int), make(map[string]time.Time)
	}
	if l.calls[call] == 0 {
		l.first[call] = time.Now()
	}
	l.calls[call]++
	l.attempts[token]++
}
