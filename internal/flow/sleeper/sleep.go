package sleeper

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx is done, and reports whether ctx is still
// valid then. It does not wait when d is not above 0.
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
