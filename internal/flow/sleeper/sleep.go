package sleeper

import (
	"context"
	"time"
)

// Sleep waits until d has passed, and then returns true, or until ctx is done, and
// then returns false. If d is 0 or negative, it does not wait and returns false only
// if ctx is already done.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
