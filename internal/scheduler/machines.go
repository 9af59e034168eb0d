package scheduler

import (
	"strings"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
	"leadproxy/internal/scheduler/agentstate"
)

// machineState is the state of a machine.
type machineState uint8

const (
	machineStarting machineState = iota // rented or listed by the cloud, no heartbeat received yet
	machineUp                           // has sent a heartbeat
	machineDeleting                     // deletion requested from the cloud
	machineGone                         // no longer exists
)

// machine is a machine of this cell. Its state is divided into parts, each written by its own
// methods and by the part of Core that owns it.
type machine struct {
	index     int32
	name      string
	typeIndex int32 // index in machineTypes, -1 while unknown
	typeName  string
	zone      int32 // index in machineTable.zones, -1 while unknown
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

	softStateVersion uint64 // version of the soft state at its last change
}

// rental is the state of a machine's rental from the cloud.
type rental struct {
	rentedAt          time.Duration // start of the rental, estimated until the cloud has listed the machine
	scaleOutID        string        // request ID of the scale-out that rented it, "" if unknown
	listed            bool          // the cloud has listed it
	missedListings    int           // consecutive lists without it since it was last listed
	terminationAt     time.Duration // announced termination by the cloud, 0 without a notice
	lastDeleteRequest time.Duration
}

// setTermination records when the cloud will terminate the machine.
func (r *rental) setTermination(at time.Duration) { r.terminationAt = at }

// setScaleOut records the request ID of the scale-out that rented the machine.
func (r *rental) setScaleOut(scaleOutID string) { r.scaleOutID = scaleOutID }

// recordListed records that the cloud lists the machine. It reports whether that is the first time,
// and only then takes the start of the rental.
func (r *rental) recordListed(rentedAt time.Duration) (first bool) {
	first = !r.listed
	if first {
		r.listed, r.rentedAt = true, rentedAt
	}
	return first
}

// countMissedListing counts a list of the cloud as one without the machine, if an earlier one had
// it. The caller calls resetMissedListings for the machines that the list contains.
func (r *rental) countMissedListing() {
	if r.listed {
		r.missedListings++
	}
}

// resetMissedListings records that the newest list of the cloud contains the machine.
func (r *rental) resetMissedListings() { r.missedListings = 0 }

// machineRecord is what the ledger holds about a machine.
type machineRecord struct {
	gone        bool    // the ledger has a record that the machine is gone
	namedByJobs int     // number of jobs whose records name it as a host
	inDoubtJobs []int32 // jobs that may have unreported tasks on it, started by an earlier leader
}

// setGone sets whether the ledger has a record that the machine is gone.
func (r *machineRecord) setGone(gone bool) { r.gone = gone }

// addInDoubt adds a job that may have unreported tasks on the machine.
func (r *machineRecord) addInDoubt(job int32) { r.inDoubtJobs = append(r.inDoubtJobs, job) }

// takeInDoubt removes and returns the jobs that may have unreported tasks on the machine.
func (r *machineRecord) takeInDoubt() []int32 {
	jobs := r.inDoubtJobs
	r.inDoubtJobs = nil
	return jobs
}

// machineHealth tracks the task failures attributed to a machine.
type machineHealth struct {
	quarantined bool
	failedJobs  map[int32]bool // jobs with a task that failed on it since the last success
}

// clearFailures resets the failures after a task has succeeded on the machine.
func (h *machineHealth) clearFailures() { clear(h.failedJobs) }

// machineEviction is how drain plans affect a machine.
type machineEviction struct {
	cordoned      bool // a plan drains it: no task starts on it
	rentedForPlan bool // rented by a plan for its current step: not returned when idle
}

// cachedImage is an image in a machine's cache.
type cachedImage struct {
	image int32 // index in placement.images
	gb    float64
}

// hasImage reports whether the machine has an image in its cache.
func (m *machine) hasImage(image int32) bool {
	for _, cached := range m.capacity.images {
		if cached.image == image {
			return true
		}
	}
	return false
}

// pool returns the capacity pool that the machine belongs to.
func (m *machine) pool() autoscaler.CapacityPool {
	return autoscaler.CapacityPool{Type: m.typeIndex, Zone: m.zone, Spot: m.spot}
}

// findOrAddMachine returns the machine with the given name, and adds it if this term doesn't know
// it yet.
func (c *Core) findOrAddMachine(name string) *machine {
	if m := c.machines.find(name); m != nil {
		return m
	}
	name = strings.Clone(name) // usually a substring of a heartbeat's body, which it would keep in memory
	m := &machine{index: int32(len(c.machines.list)), name: name, typeIndex: -1, zone: -1,
		agent:    agentstate.New(FirstFencingToken(c.term), c.clock.termStart+c.agents.lease),
		commands: machineCommands{unresolvedStarts: map[uint64]uint64{}},
		capacity: capacity{idleSince: c.clock.now},
		indexed:  indexEntry{pool: -1},
		rental:   rental{rentedAt: c.clock.now}}
	c.machines.add(m)
	c.inherited.applyToMachine(m)
	c.softState.machineChanged(m)
	return m
}

// updateDescription updates a machine's type, zone, spot flag and address from a heartbeat, the
// cloud's list or a scale-out. An empty address leaves the known one.
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

// removeMachine marks a machine as gone, with all tasks on it. While jobs name it as a host, the
// ledger keeps a record that it is gone, so that a later leader doesn't wait for its lease.
func (c *Core) removeMachine(m *machine, reason string) {
	if m.state == machineGone {
		return
	}
	c.log.Info("machine is gone", "machine", m.name, "reason", reason, "allocations", len(m.capacity.allocations))
	m.state = machineGone
	c.softState.machineChanged(m)
	c.releaseLostAllocations(m, reason)
	m.commands.resolveAllStarts()
	c.resolveInDoubt(m, reason)
	c.placement.index.Remove(m.index)
	c.scaleOuts.recordMachineSeen(m)
	if m.recorded.namedByJobs > 0 {
		m.recorded.setGone(true)
		c.writes.put(ledger.Write{Key: ledger.GoneKey(m.name), Value: true})
	}
	c.placement.markNeeded()
}

// handleMachineUp handles a machine's first heartbeat.
func (c *Core) handleMachineUp(m *machine) {
	c.log.Info("machine is up", "machine", m.name, "seconds", (c.clock.now - m.rental.rentedAt).Seconds())
	if m.typeIndex >= 0 && m.rental.scaleOutID != "" {
		c.types.list[m.typeIndex].observeBootTime(c.clock.now - m.rental.rentedAt)
	}
	c.scaleOuts.recordMachineSeen(m)
	c.placement.markNeeded()
}
