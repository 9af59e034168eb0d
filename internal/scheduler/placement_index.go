package scheduler

import (
	"slices"
	"time"

	"leadproxy/internal/settings"
	"leadproxy/internal/slowfit"
)

// poolKey is what machines of one pool of the index have in common.
type poolKey struct {
	typ, zone int32
	spot      bool
}

// indexEntry is what the index holds of one machine.
type indexEntry struct {
	pool        int32 // -1: none yet
	schedulable bool
	cores       float64 // of it in the open cores
	stale       bool    // it is to be brought up to date
}

// markIndexStale notes that the index may no longer show a machine as it is.
func (p *placement) markIndexStale(m *machine) {
	if !m.indexed.stale {
		m.indexed.stale = true
		p.staleMachines = append(p.staleMachines, m)
	}
}

// refreshIndex brings the index up to date for a machine.
func (p *placement) refreshIndex(m *machine) {
	m.indexed.stale = false
	m.indexed.schedulable = p.agents.schedulable(m)
	p.openCores -= m.indexed.cores
	m.indexed.cores = 0
	if m.indexed.schedulable {
		m.indexed.cores = m.capacity.total.CPUs
		p.openCores += m.indexed.cores
	}
	if !m.indexed.schedulable || m.capacity.reserved {
		p.index.MarkUnschedulable(m.index)
		return
	}
	key := poolKey{m.typeIndex, m.zone, m.spot}
	pool, ok := p.poolIndexByKey[key]
	if !ok {
		pool = int32(p.index.AddPool(m.capacity.total))
		p.poolIndexByKey[key] = pool
		p.pools = append(p.pools, key)
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
	for _, s := range m.capacity.images {
		tags |= imageTag(s.image)
	}
	for _, b := range m.capacity.allocations {
		tags |= imageTag(p.jobs.list[b.job].request.image)
	}
	p.index.Update(m.index, m.capacity.free, load, tags)
}

// imageTag is the index's tag of an image. Several images may share one.
func imageTag(image int32) uint64 { return 1 << (image % 64) }

// chooseMachine has SLOW-FIT choose the machine for a job's next task. A class with an objective on
// waiting is first placed only on machines on which its image would be ready in time, if one of
// those has room: a slower machine that must fetch the image first would miss the objective by
// that alone.
func (p *placement) chooseMachine(j *job, onlyZone int32) int32 {
	base := p.placementRequest(j, onlyZone)
	if j.placement.imageOnly {
		withImage := base
		withImage.AllowedTag = base.PreferredTag
		withImage.Allowed = func(i int32) bool { return base.Preferred(i) && (base.Allowed == nil || base.Allowed(i)) }
		return p.index.Place(&p.goal, &withImage)
	}
	if maxWait := p.classes.objectives[j.request.class].wait; maxWait > 0 {
		inTime := base
		inTime.Allowed = func(i int32) bool {
			m := p.machines.list[i]
			return p.fetchTime(j, m) <= maxWait && (base.Allowed == nil || base.Allowed(i))
		}
		if !p.imageFetchableWithin(j, maxWait) {
			inTime.AllowedTag = imageTag(j.request.image)
		}
		if found := p.index.Place(&p.goal, &inTime); found >= 0 {
			return found
		}
	}
	return p.index.Place(&p.goal, &base)
}

// imageFetchableWithin tells whether a job's image can be fetched within a time by
// some type of machine.
func (p *placement) imageFetchableWithin(j *job, within time.Duration) bool {
	return slices.ContainsFunc(p.types.list, func(t machineType) bool {
		return t.FetchGBPerS <= 0 || settings.Seconds(j.spec.ImageGB/t.FetchGBPerS) <= within
	})
}

// placementRequest is a job's next task as SLOW-FIT sees it. Merit tells equally slow machines apart: a
// class with an objective on waiting prefers machines with its image, since a fetch counts as
// waiting; other work prefers spot machines, so that dearer ones become empty and can be
// returned.
func (p *placement) placementRequest(j *job, onlyZone int32) slowfit.Request {
	cheap, image := 2, 1
	if p.classes.objectives[j.request.class].wait > 0 {
		cheap, image = 1, 2
	}
	w := slowfit.Request{Task: j.request.size, PreferredBonus: image, PreferredTag: imageTag(j.request.image),
		Pool: func(pool int) (bool, int) {
			k := p.pools[pool]
			if !j.allowsMachine(k.typ, k.zone, k.spot) || onlyZone >= 0 && k.zone != onlyZone || j.spreadLimitReached(k.zone) {
				return false, 0
			}
			if k.spot {
				return true, cheap
			}
			return true, 0
		},
		Preferred: func(i int32) bool {
			m := p.machines.list[i]
			return m.hasImage(j.request.image) || p.imageFetchPending(m, j.request.image)
		},
	}
	if len(j.retry.failedOn) > 0 && !j.suspect() {
		w.Allowed = func(i int32) bool { return !j.retry.failedOn[i] }
	}
	return w
}
