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
	seeds     = flag.Int("seeds", 50, "how many seeds")
	machines  = flag.Int("machines", 0, "how many machines; 0: 24, and now and then 300")
	duration  = flag.Duration("length", 80*time.Second, "how long the faults of a seed last")
	program   = flag.String("program", "", "the controller's program; none: built from this tree")
)

// agentTimeSets have operators' proportions of heartbeat interval, lease and cancel_s, and shorter
// times with more rounds of heartbeats.
var agentTimeSets = []agentTimes{
	{time.Second, 10 * time.Second, 20 * time.Second},
	{3 * time.Second, 26 * time.Second, 51 * time.Second},
	{6 * time.Second, 31 * time.Second, 56 * time.Second},
	{8 * time.Second, 36 * time.Second, 56 * time.Second},
}

// The numbers of machines of runs, of which one in so many is large.
const (
	usualMachineCount = 24
	largeMachineCount = 300
	largeOneIn        = 10
)

// TestSoak runs many seeds, -parallel of them at a time. docs/failures.md has the command.
func TestSoak(t *testing.T) {
	built := *program
	if built == "" {
		built = fake.BuildController(t, "../..")
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
			runPlan(t, built, p)
		})
	}
}
