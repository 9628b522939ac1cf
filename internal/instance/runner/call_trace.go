package runner

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"sardinelever.example/sardinelever/internal/call/classifier"
	"sardinelever.example/sardinelever/internal/call/retrier"
	"sardinelever.example/sardinelever/internal/call/sender"
	"sardinelever.example/sardinelever/internal/route/acquirer"
)

// callTrace collects the waits and attempts of one call for its log line. Several
// attempts may use it at the same time.
type callTrace struct {
	mu       sync.Mutex
	wait     time.Duration // Sum of all waits for slots.
	attempts []string
	hedge    retrier.HedgeEvent // Last event of the hedge; empty when the call was not hedged.
}

func (t *callTrace) setHedge(e retrier.HedgeEvent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hedge = e
}

func (t *callTrace) addWait(wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wait += wait
}

// addAttempt adds an attempt: its backend server, the home that granted the slot,
// the slowdown of the server that the home knew when it chose the server (pace in
// the log line), the age of that slowdown, and the result.
func (t *callTrace) addAttempt(number int, slot *acquirer.Slot, name string, took time.Duration, resp *http.Response, err error) {
	result := "-"
	var f *sender.Failure
	switch {
	case errors.As(err, &f):
		result = f.Outcome.String() + " " + f.Reason
	case resp != nil:
		result = fmt.Sprint(resp.StatusCode)
	}
	if name == "" {
		name = slot.Server.String()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts = append(t.attempts, fmt.Sprintf("%d %s home=%s pace=%.2f age=%s took=%s: %s",
		number, name, slot.Home, slot.Slowdown, slot.SlowdownAge.Round(time.Millisecond), took.Round(time.Millisecond), result))
}

// writeLog writes the log line of a call that has ended. A nil l discards it.
func (t *callTrace) writeLog(l *log.Logger, c *classifier.Call, version uint64, outcome, reason string, retryAfter, took time.Duration) {
	if l == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := l.Info().Str("id", c.RequestID).Str("outcome", outcome)
	if reason != "" {
		e = e.Str("reason", reason)
	}
	if retryAfter > 0 {
		e = e.Dur("after", retryAfter)
	}
	e = e.Str("service", c.Service.Name).Str("rank", c.Rank.String()).Uint64("config", version).
		Dur("took", took).Dur("wait", t.wait).Dur("left", time.Until(c.Deadline))
	if c.Rule != nil {
		e = e.Str("rule", c.Rule.Name)
	}
	if t.hedge != "" {
		e = e.Str("hedge", string(t.hedge))
	}
	e.Str("attempts", strings.Join(t.attempts, "; ")).Msg("call: ended")
}
