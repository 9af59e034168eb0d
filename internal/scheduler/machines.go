package scheduler

import (
	"strings"
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/settings"
	"leadproxy/internal/slowfit"
	"leadproxy/internal/wire"
)

// The states of a machine.
type machineState uint8

const (
	machineStarting machineState = iota // hired or listed, not heard of
	machineUp                           // reports
	machineDeleting                     // a deletion is asked for
	machineGone
)

type machine struct {
	index    int32
	name     string
	address  string
	typ      int32 // -1 while unknown
	typeName string
	zone     int32
	spot     bool
	state    machineState
	rentedAt time.Duration // when its rental began, as far as known
	total    slowfit.Size
	free     slowfit.Size

	agentEpoch, heartbeatSequence uint64
	fencingToken                  uint64 // the token of our orders to it
	acknowledgedToken             uint64 // the highest token that it has reported
	minAcceptedToken              uint64 // what has seen only lower tokens comes from a life of the worker that is over
	lastHeartbeat                 time.Duration
	lastAcknowledged              time.Duration // when it last showed that it hears us
	unacknowledged                bool          // it has not echoed since a sign that it does not
	epochSeenAt                   time.Duration // when this leader first heard of its present life
	tokenRaisedAt                 time.Duration // when its token was last raised
	probes                        int           // empty commands sent to make it echo
	commandsInFlight              int           // commands on their way to it
	lastAnswered                  time.Duration // last report answered in this term
	expiredEpoch                  uint64        // sessions up to this one have certainly ended
	lastInspection                time.Duration // when it was last asked what it is
	inspecting                    bool
	staleHeartbeats               int               // late copies in a row that were found out by asking
	inspectedAt                   heartbeatPosition // what we had from it then
	leaseExpiry                   time.Duration     // when an unseen task on it must be over
	listed                        bool
	missedListings                int  // lists in a row that lack it though it was listed before
	goneRecorded                  bool // the ledger says that it is gone
	namedByJobs                   int  // jobs that name it as a host
	unreachable                   *unreachableRecord

	pool         int32   // in the index; -1: none yet
	schedulable  bool    // as the index has it
	reserved     bool    // kept free for one job's first task
	indexedCores float64 // of it in openCores
	indexStale   bool    // the index is to be brought up to date
	openAnswer   int     // the answer that is open for it, from 1; 0: none
	// heldHeartbeat is the report whose answer waits for starts to be written down.
	heldHeartbeat *wire.Heartbeat

	allocations      []*allocation
	unresolvedStarts map[uint64]uint64 // starts that may yet act: attempt -> fence
	load             float64
	phase            uint32
	pendingCommands  []wire.Command
	avoidUntil       time.Duration // until then nothing is started: commands don't get there
	inDoubtJobs      []int32       // jobs that wait for word of it

	terminationAt     time.Duration // when the cloud takes it away; 0: no notice
	quarantined       bool
	idleSince         time.Duration
	images            []imageSlot
	failedJobs        map[int32]bool
	scaleOutID        string
	lastDeleteRequest time.Duration // last delete call

	// addressFromSoftState: where it is reached is known from an earlier leader's hint, and hintedSession
	// is its session by that. changed counts when it changed last for hints of our own.
	addressFromSoftState bool
	softStateEpoch       uint64
	changedAt            uint64

	cordoned    bool // a plan is emptying it: nothing starts there
	keptForPlan bool // a plan has hired it for its present step
}

// heartbeatPosition orders what one worker says.
type heartbeatPosition struct{ epoch, sequence uint64 }

func (s heartbeatPosition) before(o heartbeatPosition) bool {
	return s.epoch < o.epoch || s.epoch == o.epoch && s.sequence < o.sequence
}

type imageSlot struct {
	image int32
	gb    float64
}

// trusted tells whether what a machine reports is believed: it has echoed the term's token.
// One whose deletion is asked for counts as well. The cloud may be out of order for longer
// than cancel_s, and a machine that goes on meanwhile must be told what to stop.
func (m *machine) trusted(term uint64) bool {
	return (m.state == machineUp || m.state == machineDeleting) && m.acknowledgedToken>>tokenBits == term
}

func (m *machine) has(image int32) bool {
	for _, s := range m.images {
		if s.image == image {
			return true
		}
	}
	return false
}

// fetched notes that the machine holds an image, dropping the least recently
// used ones beyond its cache.
func (m *machine) fetched(image int32, gb, cache float64) {
	for i, s := range m.images {
		if s.image == image {
			copy(m.images[i:], m.images[i+1:])
			m.images[len(m.images)-1] = s
			return
		}
	}
	m.images = append(m.images, imageSlot{image, gb})
	sum := 0.0
	for _, s := range m.images {
		sum += s.gb
	}
	for len(m.images) > 1 && sum > cache {
		sum -= m.images[0].gb
		m.images = m.images[1:]
	}
}

// machineNamed returns the machine of a name, making a place for one that we
// hear of for the first time.
func (c *Core) machineNamed(name string) *machine {
	if m := c.machineIfKnown(name); m != nil {
		return m
	}
	name = strings.Clone(name) // mostly a part of a report's body
	m := &machine{index: int32(len(c.machines)), name: name, typ: -1, zone: -1, rentedAt: c.now,
		fencingToken: c.term << tokenBits, leaseExpiry: c.termStart + c.agentLease, pool: -1,
		unresolvedStarts: map[uint64]uint64{}, idleSince: c.now}
	c.machineIndexByName[name] = m.index
	c.machines = append(c.machines, m)
	c.liveMachines = append(c.liveMachines, m)
	c.inheritMachine(m)
	c.changed(m)
	return m
}

// describe fills in what a report or the list tells of a machine.
func (c *Core) describe(m *machine, typ, zone string, spot bool, address string) {
	if address != "" && address != m.address {
		m.address, m.addressFromSoftState = strings.Clone(address), false
		c.changed(m)
	}
	m.spot = spot
	m.zone = c.zones.of(zone)
	if typ != m.typeName {
		m.typeName = strings.Clone(typ)
	}
	if t, ok := c.typeIndexByName[typ]; ok && m.typ != t {
		m.typ = t
		used := m.total.Minus(m.free)
		m.total = c.types[t].total
		m.free = m.total.Minus(used)
	}
	c.indexChanged(m)
}

// gone notes that a machine and all on it is no more.
func (c *Core) gone(m *machine, why string) {
	if m.state == machineGone {
		return
	}
	c.log.Info("machine is gone", "machine", m.name, "why", why, "bookings", len(m.allocations))
	m.state = machineGone
	c.changed(m)
	c.dropAllocations(m, why)
	clear(m.unresolvedStarts)
	c.resolveInDoubt(m, why)
	c.index.Leave(m.index)
	c.scaleOutMachineSeen(m)
	if m.namedByJobs > 0 {
		m.goneRecorded = true
		c.put(ledger.Write{Key: ledger.GoneKey(m.name), Value: true})
	}
	c.needsPlacement = true
}

// unreachableAfter is when a machine that said nothing gets no more work.
func (c *Core) unreachableAfter() time.Duration { return c.heartbeatInterval*2 + time.Second }

// expireLease does what time alone does to a machine.
func (c *Core) expireLease(m *machine) {
	if m.state == machineGone || c.now < m.leaseExpiry || m.lastAnswered > 0 && c.now < m.lastAnswered+c.agentLease {
		return
	}
	// Its worker has had no answer for a whole lease: whatever it ran is over.
	if len(m.inDoubtJobs) > 0 {
		c.resolveInDoubt(m, "its lease is over")
	}
	// This holds as well while a deletion is asked for and not answered.
	if len(m.allocations) > 0 {
		c.log.Info("machine lost: its lease is over", "machine", m.name, "bookings", len(m.allocations))
		c.dropAllocations(m, "its lease is over")
	}
	// Starts of that session are refused from now on, and whatever a late copy
	// of its reports says is over as well.
	clear(m.unresolvedStarts)
	m.expiredEpoch = m.agentEpoch
}

// evictBeforeTermination stops what can save its progress on a machine that is to be taken.
func (c *Core) evictBeforeTermination(m *machine) {
	left := m.terminationAt - c.now
	for k := len(m.allocations) - 1; k >= 0; k-- {
		b := m.allocations[k]
		j := c.jobs[b.job]
		if b.stopping || j.spec == nil {
			continue
		}
		if b.state <= allocationQueued {
			c.stopAllocation(m, b, 0)
			continue
		}
		save := settings.Seconds(j.spec.CheckpointDurationS)
		if j.spec.CheckpointIntervalS > 0 && save < left {
			c.stopAllocation(m, b, max(left.Seconds(), j.spec.CheckpointDurationS))
			continue
		}
		// It can't save. Let it go on only if it may well end in time.
		if ran := c.now - b.runningSince; b.status == wire.TaskRunning && c.expectedRun(j)-ran < left {
			continue
		}
		c.stopAllocation(m, b, 0)
	}
}

// machineCameUp learns from a machine's first word.
func (c *Core) machineCameUp(m *machine) {
	c.log.Info("machine is up", "machine", m.name, "seconds", (c.now - m.rentedAt).Seconds())
	if m.typ >= 0 && m.scaleOutID != "" {
		t := &c.types[m.typ]
		t.boot += (c.now - m.rentedAt - t.boot) / 4
	}
	c.scaleOutMachineSeen(m)
	c.needsPlacement = true
}
