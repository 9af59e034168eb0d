package soak

import (
	"testing"
	"time"

	"leadproxy/internal/fake"
)

// TestShortSoak plays one seed for less than a minute. The times of workers are those of an
// operator, far longer than what a busy machine adds, and an answer that renews a lease
// without the stops that it owes is found at once.
func TestShortSoak(t *testing.T) {
	play(t, fake.BuildController(t, "../.."), plan{seed: 1, machines: 12, length: 40 * time.Second, pace: operatorPace})
}
