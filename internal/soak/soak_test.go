//go:build soak

package soak

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"leadproxy/internal/fake"
)

var (
	firstSeed = flag.Uint64("first", 1, "the first seed")
	seeds     = flag.Int("seeds", 50, "the number of seeds")
	machines  = flag.Int("machines", 0, "the number of machines; 0: 24, or 300 for one seed in ten")
	duration  = flag.Duration("length", 80*time.Second, "how long the faults of a seed last")
	program   = flag.String("program", "", "the controller's executable; empty: built from this source tree")
)

// agentTimeSets are the times that seeds use in turn: with proportions of heartbeat interval, lease
// and cancel_s as operators use them, and shorter times with more rounds of heartbeats.
var agentTimeSets = []agentTimes{
	{time.Second, 10 * time.Second, 20 * time.Second},
	{3 * time.Second, 26 * time.Second, 51 * time.Second},
	{6 * time.Second, 31 * time.Second, 56 * time.Second},
	{8 * time.Second, 36 * time.Second, 56 * time.Second},
}

// The number of machines of a run. One seed in largeOneIn has the large number.
const (
	usualMachineCount = 24
	largeMachineCount = 300
	largeOneIn        = 10
)

// TestSoak runs many seeds, at most -parallel of them at a time. docs/failures.md has the command.
func TestSoak(t *testing.T) {
	executable := *program
	if executable == "" {
		executable = fake.BuildController(t, "../..")
	}
	for k := range *seeds {
		seed := *firstSeed + uint64(k)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			p := plan{seed: seed, machines: *machines, faultDuration: *duration,
				times: agentTimeSets[seed%uint64(len(agentTimeSets))], standby: seed%5 == 0}
			if p.machines == 0 {
				p.machines = usualMachineCount
				if seed%largeOneIn == 0 {
					p.machines = largeMachineCount
				}
			}
			runPlan(t, executable, p)
		})
	}
}
