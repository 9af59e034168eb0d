package scheduler

import (
	"cmp"
	"slices"
	"time"

	"leadproxy/internal/fleet"
	"leadproxy/internal/hints"
	"leadproxy/internal/settings"
)

// hinted is what an earlier leader's hints say. It is looked at where this term knows
// nothing better, and dropped when its beginning is over.
type hinted struct {
	machines map[string]hints.Machine
	ran      map[uint64]time.Duration // by attempt: how long before the term it began to run
	learned  hints.Learned
}

// restoreHints takes the hints of an earlier leader, before anything else is restored.
func (c *Core) restoreHints(v *hints.View) {
	if v == nil || len(v.Machines) == 0 {
		return
	}
	c.hinted = hinted{machines: v.Machines, ran: map[uint64]time.Duration{}, learned: v.Learned}
	for _, m := range v.Machines {
		for _, b := range m.Bookings {
			if b.Ran > 0 {
				c.hinted.ran[b.Attempt] = b.Ran
			}
		}
	}
}

// probeHinted probes the machines that the ledger names where the hints say that they are
// reached, without waiting for the cloud's list.
func (c *Core) probeHinted() {
	for _, m := range c.live {
		if m.hinted {
			c.probe(m)
		}
	}
}

// dropHints forgets the hints once the term's beginning is over.
func (c *Core) dropHints() {
	if c.hinted.machines != nil && c.now-c.began > probeFor {
		c.hinted = hinted{}
	}
}

// hintMachine fills in what the hints say of a machine that is new to this term. The list of
// the cloud and its reports overwrite that.
func (c *Core) hintMachine(m *machine) {
	h, ok := c.hinted.machines[m.name]
	if !ok {
		return
	}
	m.hinted, m.address, m.hintedSession = true, h.Address, h.Session
	if len(h.Bookings) == 0 {
		m.idleSince = c.now - h.Idle
	}
	for _, i := range h.Images {
		m.images = append(m.images, imageSlot{c.images.of(i.Name), i.GB})
	}
}

// hintFailed takes back what a hint said of where a machine is reached. The cloud's list or
// its next report tells.
func (c *Core) hintFailed(m *machine) {
	m.hinted, m.hintedSession, m.probes = false, 0, 0
	if m.session == 0 {
		m.address = ""
	}
}

// runningSince is since when an attempt has run that is seen running for the first time.
// known is false if it began in an earlier term and no hint tells when.
func (c *Core) runningSince(attempt uint64) (since time.Duration, known bool) {
	if attempt>>tokenBits == c.term {
		return c.now, true
	}
	ran, ok := c.hinted.ran[attempt]
	if !ok {
		return c.now, false
	}
	return max(c.began-ran, 1), true
}

// hintType fills in what the hints say of a machine type that is new to this term.
func (c *Core) hintType(index int32) {
	t := &c.types[index]
	if s, ok := c.hinted.learned.Boots[t.Name]; ok {
		t.boot = settings.Seconds(s)
	}
	for _, o := range c.hinted.learned.Offers {
		if o.Type != t.Name {
			continue
		}
		st := c.fleet.offer(fleet.Offer{Type: index, Zone: c.zones.of(o.Zone), Spot: o.Spot})
		st.blockedUntil = c.now + min(o.Blocked, refusedMost)
		st.backoff = min(o.Backoff, refusedMost)
		st.full = o.Filled
	}
}

// changed notes that hints of our own have something new to tell of a machine.
func (c *Core) changed(m *machine) {
	c.changes++
	m.changed = c.changes
}

// hintsAsked tells what has changed since an earlier answer, oldest change first.
func (c *Core) hintsAsked(e HintsAsked) {
	var changed []*machine
	for _, m := range c.machines {
		if m.changed > e.Since && (m.state != machineGone || e.Since > 0) {
			changed = append(changed, m)
		}
	}
	slices.SortFunc(changed, func(a, b *machine) int { return cmp.Compare(a.changed, b.changed) })
	given := HintsGiven{To: e.To, Term: c.term, Upto: c.changes, Learned: c.learnedHints()}
	if len(changed) > hints.MaxChanges {
		changed = changed[:hints.MaxChanges]
		given.Upto = changed[hints.MaxChanges-1].changed
		given.More = true
	}
	for _, m := range changed {
		given.Machines = append(given.Machines, c.machineHint(m))
	}
	c.emit(given)
}

// machineHint is what is known of a machine.
func (c *Core) machineHint(m *machine) hints.Machine {
	h := hints.Machine{Name: m.name, Gone: m.state == machineGone, Address: m.address, Session: m.session, Token: m.token,
		Heard: max(0, c.now-m.heard), Idle: max(0, c.now-m.idleSince)}
	for _, i := range m.images {
		h.Images = append(h.Images, hints.Image{Name: c.images.list[i.image], GB: i.gb})
	}
	for _, b := range m.bookings {
		k := hints.Booking{Task: c.taskName(b), Attempt: b.attempt}
		if b.ranSince > 0 {
			k.Ran = c.now - b.ranSince
		}
		h.Bookings = append(h.Bookings, k)
	}
	return h
}

// learnedHints is what this term has learned.
func (c *Core) learnedHints() hints.Learned {
	l := hints.Learned{RunRatios: map[string]float64{}, Boots: map[string]float64{}}
	for class, ratio := range c.fleet.ratios {
		if ratio > 0 {
			l.RunRatios[c.classes.list[class]] = ratio
		}
	}
	for i := range c.types {
		if boot := c.types[i].boot.Seconds(); boot > 0 {
			l.Boots[c.types[i].Name] = boot
		}
	}
	for o, st := range c.fleet.offers {
		if o.Type < 0 || o.Zone < 0 || *st == (offerState{}) {
			continue
		}
		l.Offers = append(l.Offers, hints.Offer{Type: c.types[o.Type].Name, Zone: c.zones.list[o.Zone], Spot: o.Spot,
			Blocked: max(0, st.blockedUntil-c.now), Backoff: st.backoff, Filled: st.full})
	}
	slices.SortFunc(l.Offers, compareOffers)
	return l
}

func compareOffers(a, b hints.Offer) int {
	spot := func(o hints.Offer) int {
		if o.Spot {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(a.Type, b.Type), cmp.Compare(a.Zone, b.Zone), cmp.Compare(spot(a), spot(b)))
}
