package worker

import "sync"

// Ledger counts how often each call and each attempt ran over all workers of
// a trial. The zero value is ready to use; a nil Ledger counts nothing.
type Ledger struct {
	mu       sync.Mutex
	calls    map[string]int
	attempts map[string]int
}

// Calls returns the number of runs of the call.
func (l *Ledger) Calls(call string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls[call]
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
		l.calls, l.attempts = make(map[string]int), make(map[string]int)
	}
	l.calls[call]++
	l.attempts[token]++
}
