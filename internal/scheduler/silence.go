package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/settings"
)

// A new leader must take it that its predecessor has answered every worker up
// to the end of its term, and waits a whole lease for those it can't hear. When
// a zone is cut off and then the leader ends, that leaves all jobs with tasks in
// that zone waiting again from the start. So a leader notes durably which
// machines are silent and when their leases must be over. From then on it does
// not answer such a machine until the note is withdrawn, as durably.

// silence is what is noted of silent machines.
type silence struct {
	notes []*note
	free  []string // keys that hold no note any more
	count int      // keys of this term so far
	next  time.Duration
}

// note is one key of silent machines.
type note struct {
	key       string
	machines  []*machine
	withdrawn bool
}

// noteEvery is how often silent machines are looked for.
const noteEvery = 2 * time.Second

// noteSilence notes the machines that have fallen silent and that some job's
// tasks may be on.
func (c *Core) noteSilence() {
	// In an outage a note could not be withdrawn, and a machine that is back
	// would lose its lease for want of an answer.
	if c.now < c.silence.next || c.wantDurable > 0 && c.now-c.durableAt > noteEvery {
		return
	}
	c.silence.next = c.now + noteEvery
	var silent []*machine
	for _, m := range c.live {
		if m.note == nil && m.hostOf > 0 && m.state != machineGone && c.now-max(m.heard, c.began, c.awake) > c.silentAfter() {
			silent = append(silent, m)
		}
	}
	for len(silent) > 0 {
		names := make([]string, min(len(silent), ledger.ChunkHosts))
		for i := range names {
			names[i] = silent[i].name
		}
		n := ledger.NamesFit(names, c.cfg.ValueBytes-noteFrame)
		c.writeNote(silent[:n])
		silent = silent[n:]
	}
}

// noteFrame is what a note takes besides the machines' names.
const noteFrame = 64

func (c *Core) writeNote(machines []*machine) {
	n := &note{key: c.noteKey(), machines: machines}
	c.silence.notes = append(c.silence.notes, n)
	record := ledger.SilentRecord{}
	over := c.began
	for _, m := range machines {
		m.note = n
		c.touch(m)
		over = max(over, m.leaseOver)
		record.Machines = append(record.Machines, m.name)
	}
	record.OverMS = c.wall + int64((over-c.now)/time.Millisecond) + 1
	c.log.Info("noting silent machines", "machines", len(machines), "leases_over_in", (over - c.now).Seconds())
	c.put(ledger.Write{Key: n.key, Value: record})
}

// noteKey returns a key for a note, one that is free if there is. Keys are never
// deleted: a write of unknown outcome may yet be carried out, and where its key
// is missing, as it was before, it would bring back a note that is withdrawn.
func (c *Core) noteKey() string {
	if n := len(c.silence.free); n > 0 {
		key := c.silence.free[n-1]
		c.silence.free = c.silence.free[:n-1]
		return key
	}
	c.silence.count++
	return ledger.SilentKey(fmt.Sprintf("%d-%d", c.term, c.silence.count))
}

// restoreNotes takes over what earlier leaders have noted.
func (c *Core) restoreNotes(records map[string]ledger.SilentRecord) {
	// Both leaders' time of day may be off, in opposite directions.
	margin := time.Duration(2 * c.cfg.Platform.Facts.ClockErrorMS * float64(time.Millisecond))
	for _, key := range slices.Sorted(maps.Keys(records)) {
		r := records[key]
		if len(r.Machines) == 0 {
			c.silence.free = append(c.silence.free, key)
			continue
		}
		n := &note{key: key}
		c.silence.notes = append(c.silence.notes, n)
		over := c.now + settings.Stretch(time.Duration(r.OverMS-c.wall)*time.Millisecond) + margin
		for _, name := range r.Machines {
			m := c.machineNamed(name)
			m.note = n
			m.leaseOver = min(m.leaseOver, over)
			n.machines = append(n.machines, m)
		}
	}
}

// lives notes a sign of life: what was noted of the machine, and of those noted
// with it, is withdrawn.
func (c *Core) lives(m *machine) {
	if m.note != nil {
		c.withdraw(m.note)
	}
}

func (c *Core) withdraw(n *note) {
	if !n.withdrawn {
		n.withdrawn = true
		c.put(ledger.Write{Key: n.key, Value: ledger.SilentRecord{}, Urgent: true, Tag: noteTag{n.key}})
	}
}

// noteGone is told that a note is withdrawn durably: its machines may be
// answered again.
func (c *Core) noteGone(key string) {
	i := slices.IndexFunc(c.silence.notes, func(n *note) bool { return n.key == key })
	if i < 0 {
		return
	}
	n := c.silence.notes[i]
	c.silence.notes = slices.Delete(c.silence.notes, i, i+1)
	c.silence.free = append(c.silence.free, key)
	for _, m := range n.machines {
		if m.note == n {
			m.note = nil
			c.touch(m)
		}
	}
	c.dirty = true
	held := c.held
	c.held = nil
	for _, a := range held {
		if !a.outdated {
			a.machine.asking = len(c.answers) + 1
		}
		c.answers = append(c.answers, a)
	}
}

// dropNotes withdraws the notes that are of no use any more.
func (c *Core) dropNotes() {
	for _, n := range c.silence.notes {
		if !slices.ContainsFunc(n.machines, func(m *machine) bool { return m.state != machineGone && m.hostOf > 0 }) {
			c.withdraw(n)
		}
	}
}

// holdAnswer keeps the answer to a machine that is noted as silent until that is
// withdrawn.
func (c *Core) holdAnswer(a openAnswer) bool {
	if a.machine.note == nil {
		return false
	}
	a.machine.asking = 0
	c.held = append(c.held, a)
	return true
}
