package soak

import (
	"testing"
	"time"

	"leadproxy/internal/fake"
)

// TestShortSoak runs one seed for less than a minute. The workers' times are an operator's, far longer
// than the delays that a busy machine adds, and a response that renews a lease without the stop
// commands that belong to it is found at once.
func TestShortSoak(t *testing.T) {
	runPlan(t, fake.BuildController(t, "../.."), plan{seed: 1, machines: 12, faultDuration: 40 * time.Second, times: operatorTimes})
}
