package scheduler

import (
	"strings"
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/scheduler/agentstate"
)

// The states of a machine.
type machineState uint8

const (
	machineStarting machineState = iota // rented or listed, without a heartbeat yet
	machineUp                           // sends heartbeats
	machineDeleting                     // its deletion is requested
	machineGone
)

// machine is one machine of this cell, kept in parts that are named after the part of the core
// that owns them.
type machine struct {
	index     int32
	name      string
	typeIndex int32 // -1 while unknown
	typeName  string
	zone      int32
	spot      bool
	state     machineState

	agent    agentstate.State
	contact  contact
	commands machineCommands
	capacity capacity
	indexed  indexEntry
	rental   rental
	recorded machineRecord
	health   machineHealth
	eviction machineEviction

	softStateVersion uint64 // the version of the soft state with its last change
}

// rental is what is known of a machine's rental from the cloud.
type rental struct {
	rentedAt          time.Duration // when it began, as far as known
	scaleOutID        string
	listed            bool          // the cloud has listed it
	missedListings    int           // lists in a row without it, though it was listed before
	terminationAt     time.Duration // when the cloud takes it away; 0: no notice
	lastDeleteRequest time.Duration
}

// setTermination notes when the cloud takes the machine away.
func (r *rental) setTermination(at time.Duration) { r.terminationAt = at }

// setScaleOut notes the scale-out that has rented the machine.
func (r *rental) setScaleOut(scaleOutID string) { r.scaleOutID = scaleOutID }

// recordListed notes that the cloud has listed the machine, and tells whether that was the first
// time.
func (r *rental) recordListed(rentedAt time.Duration) (first bool) {
	first = !r.listed
	if first {
		r.listed, r.rentedAt = true, rentedAt
	}
	return first
}

// countMissedListing notes that a list of the cloud may lack the machine, until it is found in it.
func (r *rental) countMissedListing() {
	if r.listed {
		r.missedListings++
	}
}

// resetMissedListings notes that the newest list has the machine.
func (r *rental) resetMissedListings() { r.missedListings = 0 }

// machineRecord is what the ledger's records say of a machine.
type machineRecord struct {
	gone        bool    // the ledger has a record that it is gone
	namedByJobs int     // jobs whose records name it as a host
	inDoubtJobs []int32 // jobs that may have unseen tasks on it, started by an earlier leader
}

// setGone notes whether the ledger has a record that the machine is gone.
func (r *machineRecord) setGone(gone bool) { r.gone = gone }

// addInDoubt notes that a job may have unseen tasks on the machine.
func (r *machineRecord) addInDoubt(job int32) { r.inDoubtJobs = append(r.inDoubtJobs, job) }

// takeInDoubt removes and returns the jobs that may have unseen tasks on the machine.
func (r *machineRecord) takeInDoubt() []int32 {
	jobs := r.inDoubtJobs
	r.inDoubtJobs = nil
	return jobs
}

// machineHealth is what failures say of a machine.
type machineHealth struct {
	quarantined bool
	failedJobs  map[int32]bool // jobs with a task that failed on it, since a task last succeeded
}

// clearFailures forgets the failures: the machine can run tasks.
func (h *machineHealth) clearFailures() { clear(h.failedJobs) }

// machineEviction is what plans that drain machines want of one.
type machineEviction struct {
	cordoned      bool // a plan empties it: nothing starts on it
	rentedForPlan bool // a plan has rented it for its present step
}

type cachedImage struct {
	image int32
	gb    float64
}

func (m *machine) hasImage(image int32) bool {
	for _, s := range m.capacity.images {
		if s.image == image {
			return true
		}
	}
	return false
}

// findOrAddMachine returns the machine of a name, and adds one that is new to this term.
func (c *Core) findOrAddMachine(name string) *machine {
	if m := c.machines.find(name); m != nil {
		return m
	}
	name = strings.Clone(name) // mostly a part of a heartbeat's body
	m := &machine{index: int32(len(c.machines.list)), name: name, typeIndex: -1, zone: -1,
		agent:    agentstate.New(c.term<<termCounterBits, c.clock.termStart+c.agents.lease),
		commands: machineCommands{unresolvedStarts: map[uint64]uint64{}},
		capacity: capacity{idleSince: c.clock.now},
		indexed:  indexEntry{pool: -1},
		rental:   rental{rentedAt: c.clock.now}}
	c.machines.add(m)
	c.inherited.applyToMachine(m)
	c.softState.machineChanged(m)
	return m
}

// updateDescription takes in what a heartbeat or the cloud's list says of a machine.
func (c *Core) updateDescription(m *machine, typ, zone string, spot bool, address string) {
	if m.agent.SetAddress(address) {
		c.softState.machineChanged(m)
	}
	m.spot = spot
	m.zone = c.machines.zones.intern(zone)
	if typ != m.typeName {
		m.typeName = strings.Clone(typ)
	}
	if t, ok := c.types.indexByName[typ]; ok && m.typeIndex != t {
		m.typeIndex = t
		m.capacity.setTotal(c.types.list[t].total)
	}
	c.placement.markIndexStale(m)
}

// removeMachine notes that a machine, with all on it, no longer exists.
func (c *Core) removeMachine(m *machine, why string) {
	if m.state == machineGone {
		return
	}
	c.log.Info("machine is gone", "machine", m.name, "reason", why, "allocations", len(m.capacity.allocations))
	m.state = machineGone
	c.softState.machineChanged(m)
	c.releaseLostAllocations(m, why)
	m.commands.resolveAllStarts()
	c.resolveInDoubt(m, why)
	c.placement.index.Remove(m.index)
	c.scaleOuts.recordMachineSeen(m)
	if m.recorded.namedByJobs > 0 {
		m.recorded.setGone(true)
		c.writes.put(ledger.Write{Key: ledger.GoneKey(m.name), Value: true})
	}
	c.placement.markNeeded()
}

// handleMachineUp learns from a machine's first heartbeat.
func (c *Core) handleMachineUp(m *machine) {
	c.log.Info("machine is up", "machine", m.name, "seconds", (c.clock.now - m.rental.rentedAt).Seconds())
	if m.typeIndex >= 0 && m.rental.scaleOutID != "" {
		c.types.list[m.typeIndex].observeBootTime(c.clock.now - m.rental.rentedAt)
	}
	c.scaleOuts.recordMachineSeen(m)
	c.placement.markNeeded()
}
