package soak

import (
	"testing"
	"time"

	"leadproxy/internal/fake"
)

// TestShortSoak runs one seed, with 40 s of faults. It uses operatorTimes, which are far longer
// than the delays that a busy test machine adds. Even with such long times the checker detects at
// once a response that renews an agent's lease without the stop commands that it should have.
func TestShortSoak(t *testing.T) {
	runPlan(t, fake.BuildController(t, "../.."), plan{seed: 1, machines: 12, faultDuration: 40 * time.Second, times: operatorTimes})
}
