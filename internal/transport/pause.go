package transport

import (
	"context"
	"time"
)

// Pause waits for a while, or until ctx ends.
func Pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
