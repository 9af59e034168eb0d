package transport

import (
	"context"
	"time"
)

// Pause blocks for a duration, or until ctx ends.
func Pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
