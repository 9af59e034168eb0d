package fake

import (
	"slices"
	"time"

	"leadproxy/internal/wire"
)

// Room is what a machine that works has free.
type Room struct {
	Type, Zone  string
	Spot        bool
	CPUs, MemGB float64
}

// Look is called now and then. It looks at tasks that go on, and, when troubles
// have been over since calm, at jobs that are left waiting although there is room,
// and at those about which no question is answered. calm is zero in troubles.
func (c *Checker) Look(calm time.Time, rooms []Room) {
	c.LookAt(calm, rooms, func(string) bool { return true })
}

// LookAt is Look for the jobs of one cell alone, and its rooms.
func (c *Checker) LookAt(calm time.Time, rooms []Room, owns func(ref string) bool) {
	c.do(func() {
		for task := range c.on {
			c.stays(task)
		}
		if calm.IsZero() {
			return
		}
		for ref, j := range c.jobs {
			if j.accepted.IsZero() || !owns(ref) {
				continue
			}
			if silent := j.asked.Sub(later(j.unheard, calm)); !j.unheard.IsZero() && silent > c.limits.Silent {
				c.breaks("forgotten", "%s: no question answered for %s", ref, silent)
				j.unheard = time.Now()
			}
			if !c.waits(ref, j) || !c.hasRoom(j, rooms) {
				j.roomSince = time.Time{}
				continue
			}
			if j.roomSince.IsZero() {
				j.roomSince = time.Now()
			}
			if time.Since(j.roomSince) > c.limits.Waiting {
				c.breaks("left_waiting", "%s: %d of %d done, room for %s", ref, len(j.done), j.job.Tasks, time.Since(j.roomSince))
				j.roomSince = time.Now()
			}
		}
	})
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// waits tells whether tasks of a job that should run are on no machine.
func (c *Checker) waits(ref string, j *checkedJob) bool {
	if j.told != "" || c.cancelWanted(j) {
		return false
	}
	blocked := false
	c.ancestors(j, func(_ string, p *checkedJob) { blocked = blocked || len(p.done) < p.job.Tasks })
	if blocked {
		return false
	}
	there := len(j.done)
	for t := range c.on {
		if r := wire.JobIDOfTask(t); r == ref && !j.done[t] {
			there++
		}
	}
	return there < j.job.Tasks
}

func (c *Checker) hasRoom(j *checkedJob, rooms []Room) bool {
	s := j.job
	if limit := c.limits.CPUs[s.Team]; limit > 0 {
		used := s.CPUs
		for t := range c.on {
			ref := wire.JobIDOfTask(t)
			if o := c.jobs[ref]; o != nil && o.job.Team == s.Team {
				used += o.job.CPUs
			}
		}
		if used > limit {
			return false
		}
	}
	return slices.ContainsFunc(rooms, func(r Room) bool {
		return (s.Types == nil || slices.Contains(s.Types, r.Type)) && (s.Zone == nil || *s.Zone == r.Zone) &&
			(s.Spot || !r.Spot) && s.CPUs <= r.CPUs && s.MemGB <= r.MemGB
	})
}

// Open lists the accepted jobs that are neither done nor cancelled for all that a
// user has heard.
func (c *Checker) Open() (refs []string) {
	c.do(func() {
		for ref, j := range c.jobs {
			if !j.accepted.IsZero() && j.told == "" {
				refs = append(refs, ref)
			}
		}
	})
	slices.Sort(refs)
	return refs
}

// On is how many tasks of a job, or of all with "", are on machines, and Done how
// many have completed.
func (c *Checker) On(ref string) (on, done int) {
	c.do(func() {
		for t := range c.on {
			if r := wire.JobIDOfTask(t); ref == "" || r == ref {
				on++
			}
		}
		for r, j := range c.jobs {
			if ref == "" || r == ref {
				done += len(j.done)
			}
		}
	})
	return on, done
}
