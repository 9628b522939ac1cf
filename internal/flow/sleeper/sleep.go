package sleeper

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx is done. It returns true if d has passed, and false
// if ctx ended the wait. If d is 0 or negative, it returns at once whether ctx is not
// done.
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
