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

// indexChanged notes that the index may no longer show a machine as it is.
func (c *Core) indexChanged(m *machine) {
	if !m.indexStale {
		m.indexStale = true
		c.staleInIndex = append(c.staleInIndex, m)
	}
}

// refresh brings the index up to date for a machine.
func (c *Core) refresh(m *machine) {
	m.indexStale = false
	m.schedulable = c.accepts(m)
	c.openCores -= m.indexedCores
	m.indexedCores = 0
	if m.schedulable {
		m.indexedCores = m.total.CPUs
		c.openCores += m.indexedCores
	}
	if !m.schedulable || m.reserved {
		c.index.Close(m.index)
		return
	}
	key := poolKey{m.typ, m.zone, m.spot}
	pool, ok := c.poolIndexByKey[key]
	if !ok {
		pool = int32(c.index.AddPool(m.total))
		c.poolIndexByKey[key] = pool
		c.pools = append(c.pools, key)
	}
	if m.pool != pool {
		c.index.Join(m.index, int(pool))
		m.pool = pool
	}
	load := m.load
	if m.phase != c.goal.Phase {
		load = 0
	}
	var tags uint64
	for _, s := range m.images {
		tags |= imageTag(s.image)
	}
	for _, b := range m.allocations {
		tags |= imageTag(c.jobs[b.job].image)
	}
	c.index.Open(m.index, m.free, load, tags)
}

// imageTag is the index's tag of an image. Several images may share one.
func imageTag(image int32) uint64 { return 1 << (image % 64) }

// choose has SLOW-FIT choose the machine for a job's next task. A class with an
// aim on waiting is first offered only machines on which its image would be
// ready in time, if one of those has room: a slower machine that must fetch
// the image first would break the aim by that alone.
func (c *Core) choose(j *job, only int32) int32 {
	w := c.request(j, only)
	if j.imageOnly {
		at := w
		at.AllowedTag = w.FavouredTag
		at.Allowed = func(i int32) bool { return w.Favoured(i) && (w.Allowed == nil || w.Allowed(i)) }
		return c.index.Place(&c.goal, &at)
	}
	if aim := c.classObjectives[j.class].wait; aim > 0 {
		soon := w
		soon.Allowed = func(i int32) bool {
			m := c.machines[i]
			return c.fetchTime(j, m) <= aim && (w.Allowed == nil || w.Allowed(i))
		}
		if !c.fetchedWithin(j, aim) {
			soon.AllowedTag = imageTag(j.image)
		}
		if at := c.index.Place(&c.goal, &soon); at >= 0 {
			return at
		}
	}
	return c.index.Place(&c.goal, &w)
}

// fetchedWithin tells whether a job's image can be fetched within a time by
// some type of machine.
func (c *Core) fetchedWithin(j *job, within time.Duration) bool {
	return slices.ContainsFunc(c.types, func(t machineType) bool {
		return t.FetchGBPerS <= 0 || settings.Seconds(j.spec.ImageGB/t.FetchGBPerS) <= within
	})
}

// request is a job's next task as SLOW-FIT sees it. Merit tells equally slow
// machines apart: a class with an aim on waiting goes first where its image is,
// since a fetch counts as waiting; other work goes first to spot machines, so
// that dearer ones run empty and can go back.
func (c *Core) request(j *job, only int32) slowfit.Request {
	cheap, image := 2, 1
	if c.classObjectives[j.class].wait > 0 {
		cheap, image = 1, 2
	}
	w := slowfit.Request{Task: j.size, Bonus: image, FavouredTag: imageTag(j.image),
		Pool: func(pool int) (bool, int) {
			k := c.pools[pool]
			if !j.allows(k.typ, k.zone, k.spot) || only >= 0 && k.zone != only || j.crowdedZone(k.zone) {
				return false, 0
			}
			if k.spot {
				return true, cheap
			}
			return true, 0
		},
		Favoured: func(i int32) bool {
			m := c.machines[i]
			return m.has(j.image) || c.fetching(m, j.image)
		},
	}
	if len(j.failedOn) > 0 && !j.suspect() {
		w.Allowed = func(i int32) bool { return !j.failedOn[i] }
	}
	return w
}
