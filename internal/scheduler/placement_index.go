package scheduler

import (
	"slices"
	"time"

	"leadproxy/internal/settings"
	"leadproxy/internal/slowfit"
)

// indexEntry is a machine's entry in the SLOW-FIT index.
type indexEntry struct {
	pool        int32 // pool number; -1: in no pool yet
	schedulable bool
	cores       float64 // its contribution to placement.schedulableCores
	stale       bool    // the machine is in placement.staleMachines
}

// markIndexStale queues a machine's index entry to be refreshed before the next placement.
func (p *placement) markIndexStale(m *machine) {
	if !m.indexed.stale {
		m.indexed.stale = true
		p.staleMachines = append(p.staleMachines, m)
	}
}

// refreshIndex brings the index entry of a machine up to date.
func (p *placement) refreshIndex(m *machine) {
	m.indexed.stale = false
	m.indexed.schedulable = p.agents.schedulable(m)
	p.schedulableCores -= m.indexed.cores
	m.indexed.cores = 0
	if m.indexed.schedulable {
		m.indexed.cores = m.capacity.total.CPUs
		p.schedulableCores += m.indexed.cores
	}
	if !m.indexed.schedulable || m.capacity.reserved {
		p.index.MarkUnschedulable(m.index)
		return
	}
	key := m.pool()
	pool, ok := p.poolIndexByKey[key]
	if !ok {
		pool = int32(p.index.AddPool(m.capacity.total))
		p.poolIndexByKey[key] = pool
		p.poolKeys = append(p.poolKeys, key)
	}
	if m.indexed.pool != pool {
		p.index.Add(m.index, int(pool))
		m.indexed.pool = pool
	}
	load := m.capacity.load
	if m.capacity.phase != p.goal.Phase {
		load = 0
	}
	var tags uint64
	for _, cached := range m.capacity.images {
		tags |= imageTag(cached.image)
	}
	for _, alloc := range m.capacity.allocations {
		tags |= imageTag(p.jobs.list[alloc.job].request.image)
	}
	p.index.Update(m.index, m.capacity.placeable(), load, tags)
}

// imageTag returns the index tag of an image, one of 64 bits. Different images may share a tag.
func imageTag(image int32) uint64 { return 1 << (image % 64) }

// chooseMachine returns the machine that SLOW-FIT chooses for a job's next task, or -1. Tasks of a
// class with a wait objective are first placed only on machines on which their image would be ready
// in time: on a slower machine that must fetch the image first, the fetch alone would miss the
// objective.
func (p *placement) chooseMachine(j *job, onlyZone int32) int32 {
	base := p.placementRequest(j, onlyZone)
	if j.placement.imageOnly {
		withImage := base
		withImage.AllowedTag = base.PreferredTag
		withImage.Allowed = func(machineIndex int32) bool {
			return base.Preferred(machineIndex) && (base.Allowed == nil || base.Allowed(machineIndex))
		}
		return p.index.Place(&p.goal, &withImage)
	}
	if maxWait := p.classes.objectives[j.request.class].wait; maxWait > 0 {
		inTime := base
		inTime.Allowed = func(machineIndex int32) bool {
			m := p.machines.list[machineIndex]
			return p.fetchTime(j, m) <= maxWait && (base.Allowed == nil || base.Allowed(machineIndex))
		}
		if !p.imageFetchableWithin(j, maxWait) {
			inTime.AllowedTag = imageTag(j.request.image)
		}
		if machineIndex := p.index.Place(&p.goal, &inTime); machineIndex >= 0 {
			return machineIndex
		}
	}
	return p.index.Place(&p.goal, &base)
}

// imageFetchableWithin reports whether some machine type can fetch a job's image within a time.
func (p *placement) imageFetchableWithin(j *job, within time.Duration) bool {
	return slices.ContainsFunc(p.types.list, func(t machineType) bool {
		return t.FetchGBPerS <= 0 || settings.Seconds(j.spec.ImageGB/t.FetchGBPerS) <= within
	})
}

// placementRequest describes a job's next task to SLOW-FIT. The bonuses choose between equally slow
// machines. A class with a wait objective prefers machines with its image, since a fetch counts as
// waiting. All other jobs prefer spot machines, so that the more expensive ones become empty and
// can be returned.
func (p *placement) placementRequest(j *job, onlyZone int32) slowfit.Request {
	spotBonus, imageBonus := 2, 1
	if p.classes.objectives[j.request.class].wait > 0 {
		spotBonus, imageBonus = 1, 2
	}
	request := slowfit.Request{Task: j.request.size, PreferredBonus: imageBonus, PreferredTag: imageTag(j.request.image),
		ScorePool: func(pool int) (bool, int) {
			key := p.poolKeys[pool]
			if !p.types.allowsNextIn(j, key) || onlyZone != anyZone && key.Zone != onlyZone {
				return false, 0
			}
			if key.Spot {
				return true, spotBonus
			}
			return true, 0
		},
		Preferred: func(machineIndex int32) bool {
			m := p.machines.list[machineIndex]
			return m.hasImage(j.request.image) || p.imageFetchPending(m, j.request.image)
		},
	}
	if len(j.retry.failedOn) > 0 {
		request.Allowed = func(machineIndex int32) bool { return !j.avoids(machineIndex, p.clock.now) }
	}
	return request
}
