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

// kind is what a trouble does.
type kind string

// The kinds of troubles.
const (
	killOne      kind = "a controller is killed"
	killAll      kind = "all controllers are killed"
	killLeaders  kind = "each new leader is killed"
	freeze       kind = "a controller stands still"
	cutState     kind = "a controller loses the state service"
	cutPeers     kind = "a controller loses the others"
	cutWorkers   kind = "a controller loses the workers"
	onlyWorkers  kind = "a controller is cut off from all but its workers"
	outage       kind = "the state service is out"
	slowState    kind = "the state service is slow"
	lateWrites   kind = "transactions get no answer and come late"
	lostAnswers  kind = "transactions get no answer"
	lostCommands kind = "direct commands are lost"
	lateCommands kind = "direct commands come late"
	twoCommands  kind = "direct commands come twice"
	cloudOut     kind = "the cloud is out of order"
	hang         kind = "machines hang"
	deaf         kind = "machines hear nothing"
	mute         kind = "machines reach nobody"
	reboot       kind = "machines end and are back at once"
	taken        kind = "machines are taken away"
	lateReports  kind = "copies of reports come late"
	oldReports   kind = "old reports reach every controller"
	cancelMany   kind = "users cancel many jobs at once"
)

// kinds are all of them; what has broken rules before comes more often.
var kinds = []kind{killOne, killOne, killAll, killLeaders, killLeaders, freeze, cutState, cutPeers, cutWorkers, onlyWorkers, outage, slowState, lateWrites,
	lostAnswers, lostCommands, lateCommands, twoCommands, cloudOut, cloudOut, hang, hang, deaf, mute, reboot, taken, lateReports, oldReports, cancelMany, cancelMany}

// trouble is one trouble of a schedule.
type trouble struct {
	kind   kind
	at     time.Duration
	lasts  time.Duration
	target int     // a controller; leader: the one that leads then
	share  float64 // of machines or messages
	ways   []fake.Direction
}

// leader as a target is whoever leads at that moment.
const leader = -1

// schedule is what befalls a deployment.
type schedule []trouble

// The rhythm of a schedule: a new trouble every few seconds, each lasting up to a worker's
// lease and more, so that two or three overlap.
const (
	firstTrouble = 8 * time.Second
	mostBetween  = 7 * time.Second
	firstMeeting = 20 * time.Second // there are machines at work by then
	meetingEvery = 30 * time.Second
	leastLasts   = 200 * time.Millisecond
)

// newSchedule draws a schedule for so long.
func newSchedule(seed uint64, controllers int, pace pace, length time.Duration) (s schedule) {
	random := rand.New(rand.NewPCG(seed, 1))
	for at := firstTrouble; at < length; at += time.Duration(random.Int64N(int64(mostBetween))) {
		t := trouble{kind: kinds[random.IntN(len(kinds))], at: at, target: random.IntN(controllers), share: 0.1 + 0.4*random.Float64()}
		t.lasts = leastLasts + time.Duration(random.Int64N(int64(pace.lease+pace.lease/4)))
		t.lasts = min(t.lasts, length-at)
		if random.IntN(2) == 0 {
			t.target = leader
		}
		t.ways = [][]fake.Direction{{fake.ToServer}, {fake.ToClient}, {fake.ToServer, fake.ToClient}}[random.IntN(3)]
		s = append(s, t)
	}
	which := random.IntN(len(meetings))
	for at := firstMeeting; at < length; at += meetingEvery {
		m := meetings[which%len(meetings)](at+time.Duration(random.Int64N(int64(meetingEvery/3))), pace)
		s = append(slices.DeleteFunc(s, func(t trouble) bool { return m.alone && t.meets(m.troubles[0]) }), m.troubles...)
		which++
	}
	slices.SortStableFunc(s, func(a, b trouble) int { return int(a.at - b.at) })
	return s
}

// meeting is some troubles that together have kept tasks of cancelled jobs running.
type meeting struct {
	troubles []trouble
	// alone: it needs a leader that lives on, and others keep away from its first trouble.
	alone bool
}

var meetings = []func(at time.Duration, pace pace) meeting{cancelledOnHungMachines, cancelledAsLeadersEnd}

// Others that keep away from a trouble are over so long before it and begin so long after.
const keepAway = 5 * time.Second

// killingLeadersTakes is how long leaders are killed in turns at most.
const killingLeadersTakes = 20 * time.Second

// meets tells whether a trouble comes near another one.
func (t trouble) meets(o trouble) bool {
	lasts := t.lasts
	if t.kind == killLeaders {
		lasts = max(lasts, killingLeadersTakes)
	}
	return t.at < o.at+o.lasts+keepAway && o.at < t.at+lasts+keepAway
}

// callOff is most of the jobs that can be called off, called off at once.
func callOff(at time.Duration) trouble {
	return trouble{kind: cancelMany, at: at + 200*time.Millisecond, share: 0.9}
}

// cancelledOnHungMachines: jobs are called off while their machines hang, for longer than a
// leader has patience and less than their lease; some stops are lost, and the cloud deletes
// nothing.
func cancelledOnHungMachines(at time.Duration, pace pace) meeting {
	hangs := min(4*pace.report+2*time.Second, pace.lease*9/10)
	return meeting{alone: true, troubles: []trouble{
		{kind: hang, at: at, lasts: hangs, share: 0.3}, callOff(at),
		{kind: lostCommands, at: at, lasts: hangs, share: 0.3}, {kind: cloudOut, at: at, lasts: 2 * pace.lease},
	}}
}

// cancelledAsLeadersEnd: jobs are called off as leaders end in series, and commands are lost.
func cancelledAsLeadersEnd(at time.Duration, pace pace) meeting {
	return meeting{troubles: []trouble{
		{kind: lostCommands, at: at, lasts: pace.lease, share: 0.5}, callOff(at),
		{kind: killLeaders, at: at + 300*time.Millisecond, lasts: time.Second, target: leader},
	}}
}

func (s schedule) String() string {
	var text strings.Builder
	for _, t := range s {
		fmt.Fprintf(&text, "%8.3f s, for %7.3f s: %s (controller %d, share %.2f, ways %v)\n", t.at.Seconds(), t.lasts.Seconds(), t.kind, t.target, t.share, t.ways)
	}
	return text.String()
}

// TestSchedulesAreRepeatable: a seed names one schedule, and seeds together all kinds.
func TestSchedulesAreRepeatable(t *testing.T) {
	met := map[kind]bool{}
	for seed := range uint64(50) {
		s := newSchedule(seed, controllers, operatorPace, time.Minute)
		if s.String() != newSchedule(seed, controllers, operatorPace, time.Minute).String() {
			t.Errorf("seed %d draws two schedules", seed)
		}
		for _, trouble := range s {
			met[trouble.kind] = true
		}
	}
	for _, k := range kinds {
		if !met[k] {
			t.Errorf("no seed has %q", k)
		}
	}
}
