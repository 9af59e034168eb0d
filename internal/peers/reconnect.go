package peers

import (
	"time"

	"google.golang.org/grpc/backoff"
)

// reconnect keeps a restarted peer from being shunned for long.
var reconnect = backoff.Config{BaseDelay: 200 * time.Millisecond, Multiplier: 1.5, Jitter: 0.2, MaxDelay: time.Second}
