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
	machineBooting  machineState = iota // hired or listed, not heard of
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
	hired    time.Duration // when its rental began, as far as known
	total    slowfit.Size
	free     slowfit.Size

	session, seq uint64
	token        uint64 // the token of our orders to it
	echo         uint64 // the highest token that it has reported
	floor        uint64 // what has seen only lower tokens comes from a life of the worker that is over
	heard        time.Duration
	echoed       time.Duration // when it last showed that it hears us
	doubted      bool          // it has not echoed since a sign that it does not
	begun        time.Duration // when this leader first heard of its present life
	raisedAt     time.Duration // when its token was last raised
	probes       int           // empty commands sent to make it echo
	directs      int           // commands on their way to it
	answered     time.Duration // last report answered in this term
	over         uint64        // sessions up to this one have certainly ended
	inspected    time.Duration // when it was last asked what it is
	inspecting   bool
	copies       int           // late copies in a row that were found out by asking
	askedAt      stamp         // what we had from it then
	leaseOver    time.Duration // when an unseen task on it must be over
	listed       bool
	missing      int  // lists in a row that lack it though it was listed before
	goneNoted    bool // the ledger says that it is gone
	hostOf       int  // jobs that name it as a host
	note         *note

	pool   int32   // in the index; -1: none yet
	isOpen bool    // as the index has it
	held   bool    // kept free for one job's first task
	cores  float64 // of it in openCores
	stale  bool    // the index is to be brought up to date
	asking int     // the answer that is open for it, from 1; 0: none
	// awaiting is the report whose answer waits for starts to be written down.
	awaiting *wire.Report

	bookings []*booking
	pending  map[uint64]uint64 // starts that may yet act: attempt -> fence
	load     float64
	phase    uint32
	outbox   []wire.Order
	shunned  time.Duration // until then nothing is started: commands don't get there
	unclear  []int32       // jobs that wait for word of it

	noticeAt   time.Duration // when the cloud takes it away; 0: no notice
	quarantine bool
	idleSince  time.Duration
	images     []imageSlot
	blamedFor  map[int32]bool
	hireName   string
	asked      time.Duration // last delete call

	// hinted: where it is reached is known from an earlier leader's hint, and hintedSession
	// is its session by that. changed counts when it changed last for hints of our own.
	hinted        bool
	hintedSession uint64
	changed       uint64

	cordoned bool // a plan is emptying it: nothing starts there
	kept     bool // a plan has hired it for its present step
}

// stamp orders what one worker says.
type stamp struct{ session, seq uint64 }

func (s stamp) before(o stamp) bool {
	return s.session < o.session || s.session == o.session && s.seq < o.seq
}

type imageSlot struct {
	image int32
	gb    float64
}

// known tells whether what a machine reports is believed: it has echoed the term's token.
// One whose deletion is asked for counts as well. The cloud may be out of order for longer
// than cancel_s, and a machine that goes on meanwhile must be told what to stop.
func (m *machine) known(term uint64) bool {
	return (m.state == machineUp || m.state == machineDeleting) && m.echo>>tokenBits == term
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
	m := &machine{index: int32(len(c.machines)), name: name, typ: -1, zone: -1, hired: c.now,
		token: c.term << tokenBits, leaseOver: c.began + c.leaseTime, pool: -1,
		pending: map[uint64]uint64{}, idleSince: c.now}
	c.machineAt[name] = m.index
	c.machines = append(c.machines, m)
	c.live = append(c.live, m)
	c.hintMachine(m)
	c.changed(m)
	return m
}

// describe fills in what a report or the list tells of a machine.
func (c *Core) describe(m *machine, typ, zone string, spot bool, address string) {
	if address != "" && address != m.address {
		m.address, m.hinted = strings.Clone(address), false
		c.changed(m)
	}
	m.spot = spot
	m.zone = c.zones.of(zone)
	if typ != m.typeName {
		m.typeName = strings.Clone(typ)
	}
	if t, ok := c.typeAt[typ]; ok && m.typ != t {
		m.typ = t
		used := m.total.Minus(m.free)
		m.total = c.types[t].total
		m.free = m.total.Minus(used)
	}
	c.touch(m)
}

// gone notes that a machine and all on it is no more.
func (c *Core) gone(m *machine, why string) {
	if m.state == machineGone {
		return
	}
	c.log.Info("machine is gone", "machine", m.name, "why", why, "bookings", len(m.bookings))
	m.state = machineGone
	c.changed(m)
	c.dropBookings(m, why)
	clear(m.pending)
	c.clearMachine(m, why)
	c.index.Leave(m.index)
	c.hireSeen(m)
	if m.hostOf > 0 {
		m.goneNoted = true
		c.put(ledger.Write{Key: ledger.GoneKey(m.name), Value: true})
	}
	c.dirty = true
}

// silentAfter is when a machine that said nothing gets no more work.
func (c *Core) silentAfter() time.Duration { return c.report*2 + time.Second }

// checkMachine does what time alone does to a machine.
func (c *Core) checkMachine(m *machine) {
	if m.state == machineGone || c.now < m.leaseOver || m.answered > 0 && c.now < m.answered+c.leaseTime {
		return
	}
	// Its worker has had no answer for a whole lease: whatever it ran is over.
	if len(m.unclear) > 0 {
		c.clearMachine(m, "its lease is over")
	}
	// This holds as well while a deletion is asked for and not answered.
	if len(m.bookings) > 0 {
		c.log.Info("machine lost: its lease is over", "machine", m.name, "bookings", len(m.bookings))
		c.dropBookings(m, "its lease is over")
	}
	// Starts of that session are refused from now on, and whatever a late copy
	// of its reports says is over as well.
	clear(m.pending)
	m.over = m.session
}

// drain stops what can save its progress on a machine that is to be taken.
func (c *Core) drain(m *machine) {
	left := m.noticeAt - c.now
	for k := len(m.bookings) - 1; k >= 0; k-- {
		b := m.bookings[k]
		j := c.jobs[b.job]
		if b.stopping || j.spec == nil {
			continue
		}
		if b.state <= bookQueued {
			c.stopBooking(m, b, 0)
			continue
		}
		save := settings.Seconds(j.spec.SaveS)
		if j.spec.CheckpointS > 0 && save < left {
			c.stopBooking(m, b, max(left.Seconds(), j.spec.SaveS))
			continue
		}
		// It can't save. Let it go on only if it may well end in time.
		if ran := c.now - b.ranSince; b.status == wire.TaskRunning && c.expectedRun(j)-ran < left {
			continue
		}
		c.stopBooking(m, b, 0)
	}
}

// machineCameUp learns from a machine's first word.
func (c *Core) machineCameUp(m *machine) {
	c.log.Info("machine is up", "machine", m.name, "seconds", (c.now - m.hired).Seconds())
	if m.typ >= 0 && m.hireName != "" {
		t := &c.types[m.typ]
		t.boot += (c.now - m.hired - t.boot) / 4
	}
	c.hireSeen(m)
	c.dirty = true
}
