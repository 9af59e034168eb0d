package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"leadproxy/internal/fake"
)

// scheduledFault is one fault of a schedule. Which of the last three fields apply depends on its
// kind.
type scheduledFault struct {
	kind       faultKind
	start      time.Duration
	duration   time.Duration
	target     int     // a controller's index, or currentLeader
	share      float64 // of the machines, messages or jobs
	directions []fake.Direction
}

// currentLeader is a target: the controller that is the leader when the fault begins.
const currentLeader = -1

// schedule lists the faults of a run, ordered by start.
type schedule []scheduledFault

// The times of a schedule. A fault begins every few seconds and lasts up to about 1.25 times an
// agent's lease, so that two or three faults overlap.
const (
	firstFaultStart       = 8 * time.Second
	maxFaultInterval      = 7 * time.Second
	firstCombinationStart = 20 * time.Second // machines are working by then
	combinationInterval   = 30 * time.Second
	maxReadFaultInterval  = 20 * time.Second
	maxRepeatInterval     = 40 * time.Second
	minFaultDuration      = 200 * time.Millisecond
)

// newSchedule draws a schedule of a length. The number and order of the random draws must not change,
// because they determine the schedule of each seed.
func newSchedule(seed uint64, controllers int, times agentTimes, length time.Duration) (s schedule) {
	random := rand.New(rand.NewPCG(seed, 1))
	for start := firstFaultStart; start < length; start += time.Duration(random.Int64N(int64(maxFaultInterval))) {
		f := randomFault(random, controllers, times, start)
		f.duration = min(f.duration, length-start)
		s = append(s, f)
	}
	s = append(s, readFaults(seed, times, length)...)
	s = append(s, repeatFaults(seed, times, length)...)
	nextCombination := random.IntN(len(combinations))
	for start := firstCombinationStart; start < length; start += combinationInterval {
		c := combinations[nextCombination%len(combinations)](start+time.Duration(random.Int64N(int64(combinationInterval/3))), times)
		if c.exclusive {
			s = slices.DeleteFunc(s, func(f scheduledFault) bool { return f.overlaps(c.faults[0]) })
		}
		s = append(s, c.faults...)
		nextCombination++
	}
	slices.SortStableFunc(s, func(a, b scheduledFault) int { return int(a.start - b.start) })
	return s
}

// readFaults draws the faults of reads and watches from a generator of their own, so that those of a
// schedule's other faults do not depend on them.
func readFaults(seed uint64, times agentTimes, length time.Duration) (s schedule) {
	random := rand.New(rand.NewPCG(seed, 5))
	for start := firstFaultStart; start < length; start += time.Duration(random.Int64N(int64(maxReadFaultInterval))) {
		f := scheduledFault{kind: readFaultKinds[random.IntN(len(readFaultKinds))], start: start, share: 0.1 + 0.4*random.Float64()}
		f.duration = min(minFaultDuration+time.Duration(random.Int64N(int64(times.lease))), length-start)
		s = append(s, f)
	}
	return s
}

// repeatFaults draws the faults in which commands are repeated, from a generator of their own.
func repeatFaults(seed uint64, times agentTimes, length time.Duration) (s schedule) {
	random := rand.New(rand.NewPCG(seed, 6))
	for start := firstFaultStart; start < length; start += time.Duration(random.Int64N(int64(maxRepeatInterval))) {
		f := scheduledFault{kind: repeatedCommands, start: start, share: 0.1 + 0.4*random.Float64()}
		f.duration = min(minFaultDuration+time.Duration(random.Int64N(int64(times.lease))), length-start)
		s = append(s, f)
	}
	return s
}

// randomFault draws a fault that begins at start.
func randomFault(random *rand.Rand, controllers int, times agentTimes, start time.Duration) scheduledFault {
	f := scheduledFault{
		kind: faultKinds[random.IntN(len(faultKinds))], start: start,
		target: random.IntN(controllers), share: 0.1 + 0.4*random.Float64(),
	}
	f.duration = minFaultDuration + time.Duration(random.Int64N(int64(times.lease+times.lease/4)))
	if random.IntN(2) == 0 {
		f.target = currentLeader
	}
	f.directions = [][]fake.Direction{{fake.ToServer}, {fake.ToClient}, {fake.ToServer, fake.ToClient}}[random.IntN(3)]
	return f
}

func (s schedule) String() string {
	var text strings.Builder
	for _, f := range s {
		fmt.Fprintf(&text, "%8.3f s, for %7.3f s: %s (controller %d, share %.2f, directions %v)\n",
			f.start.Seconds(), f.duration.Seconds(), f.kind, f.target, f.share, f.directions)
	}
	return text.String()
}

// TestSchedulesAreRepeatable checks that a seed always gives the same schedule, so that a failed
// run can be repeated, and that 50 seeds together have all kinds of faults.
func TestSchedulesAreRepeatable(t *testing.T) {
	drawn := map[faultKind]bool{}
	for seed := range uint64(50) {
		s := newSchedule(seed, controllerCount, operatorTimes, time.Minute)
		if s.String() != newSchedule(seed, controllerCount, operatorTimes, time.Minute).String() {
			t.Errorf("seed %d gives two different schedules", seed)
		}
		for _, f := range s {
			drawn[f.kind] = true
		}
	}
	for _, kind := range slices.Concat(faultKinds, readFaultKinds, []faultKind{repeatedCommands}) {
		if !drawn[kind] {
			t.Errorf("no schedule has the fault %q", kind)
		}
	}
}
