// Package dispatch is the leader's mind: which machines there are, what runs on
// them, what waits, and which orders follow. Its core is a deterministic step
// from a state, an event and a time to effects, without I/O; the actor around
// it (run.go) carries the effects out.
package dispatch

import (
	"math"
	"strings"
	"time"

	"leadproxy/internal/fleet"
	"leadproxy/internal/ledger"
	"leadproxy/internal/settings"
	"leadproxy/internal/slowfit"
	"leadproxy/internal/wire"
)

// Config is what the core is told at its start.
type Config struct {
	Term     uint64
	Platform *settings.Platform
	Operator settings.Operator
	// ValueBytes is how many bytes a value may have.
	ValueBytes int
}

// tokenBits is the room that a token and an attempt leave for the counter
// within one term.
const tokenBits = 24

// Event is what the core is stepped with.
type Event interface{ isEvent() }

func (JobSeen) isEvent()     {}
func (ReportIn) isEvent()    {}
func (DirectBack) isEvent()  {}
func (CancelAsked) isEvent() {}
func (StatusAsked) isEvent() {}
func (NowDurable) isEvent()  {}
func (CloudBack) isEvent()   {}
func (InspectBack) isEvent() {}
func (Formats) isEvent()     {}
func (Rejected) isEvent()    {}
func (Tick) isEvent()        {}

// Recipient is who gets the answer to a report, a question or a cancellation.
type Recipient interface {
	// Deliver takes the answer. It does not wait.
	Deliver(answer Effect)
}

// The events.
type (
	// JobSeen tells of a job record, from a node that accepted it or from the
	// watch.
	JobSeen struct {
		Ref     string
		Record  ledger.JobRecord
		Version uint64
	}
	// ReportIn is a worker's report that wants an answer.
	ReportIn struct {
		Report *wire.Report
		To     Recipient
	}
	// DirectBack is the outcome of a direct command.
	DirectBack struct {
		Call    uint64
		Outcome DirectOutcome
		Report  *wire.Report // with DirectDone and DirectRefused
	}
	// CancelAsked is a user asking to cancel a job.
	CancelAsked struct {
		Ref string
		To  Recipient
	}
	// StatusAsked is a user's question.
	StatusAsked struct {
		Ref string
		To  Recipient
	}
	// NowDurable tells tags of writes that are durable.
	NowDurable struct{ Tags []ledger.Tag }
	// CloudBack is the outcome of a cloud call.
	CloudBack struct{ Result fleet.Result }
	// InspectBack is what a worker says when asked what it is now.
	InspectBack struct {
		Machine string
		Report  *wire.Report // nil: no answer
	}
	// Formats tells how many bytes a value may have from now on.
	Formats struct{ ValueBytes int }
	// Rejected tells tags of writes that were not carried out, since their values
	// are larger than the state service takes any more.
	Rejected struct{ Tags []ledger.Tag }
	// Tick comes a few times a second.
	Tick struct{}
)

// DirectOutcome is what became of a direct command.
type DirectOutcome int

// The outcomes of a direct command.
const (
	DirectUnknown DirectOutcome = iota // it may act now or much later
	DirectDone                         // executed
	DirectRefused                      // nothing executed
	DirectNotSent                      // never left this process
)

// Effect is what follows from steps and is to be carried out.
type Effect interface{ isEffect() }

func (AnswerReport) isEffect() {}
func (Direct) isEffect()       {}
func (Inspect) isEffect()      {}
func (Put) isEffect()          {}
func (AnswerUser) isEffect()   {}
func (CallCloud) isEffect()    {}

// The effects.
type (
	// AnswerReport answers a worker.
	AnswerReport struct {
		To     Recipient
		Answer *wire.ReportAnswer // nil: this node can't answer for the controllers
	}
	// Direct is a command to be sent straight to a worker.
	Direct struct {
		Call     uint64
		Machine  string
		Address  string
		Commands wire.Commands
	}
	// Inspect asks a worker what it is now.
	Inspect struct {
		Machine string
		Address string
	}
	// Put writes to the ledger.
	Put struct{ Writes []ledger.Write }
	// AnswerUser answers a question or a cancellation.
	AnswerUser struct {
		To     Recipient
		Known  bool
		Status wire.JobStatus
		// Deciding: the job's end is being written. The state service may have
		// it already, and another node may have told a user: only a fresh read
		// is as new as that.
		Deciding bool
	}
	// CallCloud makes a call to the cloud.
	CallCloud struct{ Call fleet.Call }
)

// The states of a task.
type taskState uint8

const (
	taskWaiting taskState = iota
	taskBooked
	taskDone    // its end is known here
	taskDurable // its end is in the ledger
)

type task struct{ state taskState }

type host struct {
	machine int32
	durable bool
}

// job is a job in the leader's memory. Once it is over, tasks is nil.
type job struct {
	index   int32
	ref     string
	spec    *wire.Job
	version uint64
	accept  int64 // acceptedMS of the record
	arrived time.Duration
	// due and rank are its own, or those of a job that needs it where that is more
	// urgent.
	due    time.Duration // never without a deadline
	rank   int
	doneAt time.Duration // for one that was done when this term began
	deps   dependencies
	size   slowfit.Size
	team   int32
	class  int32
	image  int32
	zone   int32 // -1: any
	types  []int32

	tasks   []task
	waiting []int32 // indices of waiting tasks, the last one goes first
	total   int
	done    int
	booked  int

	// For a job that must stay in one zone or be spread: its tasks by zone, and
	// which zone was last found best.
	inZone     []int
	zoneSought time.Duration
	zoneWish   int32

	hosts    []host
	hostAt   map[int32]int
	hostsPut int // how many of them have been written, or are being
	// hostChunks are the first hosts of the keys that hold them. finKeys are the
	// keys of finished tasks, inParts the chunks that are written in parts.
	hostChunks []int
	finKeys    map[string]bool
	inParts    map[int]bool
	// ended are tasks that have ended and are not written down yet.
	ended     []int32
	unwritten bool
	unclear   map[int32]bool // machines that may run unseen tasks of it

	terminal        string // decided, being written or durable
	terminalDurable bool
	settled         bool // all that a terminal state requires is done
	waiters         []Recipient

	begun  bool          // some task of it has been seen running, or is done
	held   *machine      // kept free for its first task
	sought time.Duration // when such a machine was last looked for

	imageOnly bool // for the moment it is offered only machines with its image

	notBefore time.Duration
	backoff   time.Duration
	failedOn  map[int32]bool
}

func (j *job) over() bool { return j.terminal != "" }

// placeable tells whether waiting tasks may be started now.
func (j *job) placeable(now time.Duration) bool {
	return !j.over() && !j.blocked() && len(j.waiting) > 0 && len(j.unclear) == 0 && now >= j.notBefore
}

// never is the deadline of a job without one.
const never = time.Duration(math.MaxInt64)

// slack is the time left until the deadline beyond the estimated run.
func (j *job) slack(now time.Duration) time.Duration {
	if j.due == never {
		return never
	}
	return j.due - now - settings.Seconds(j.spec.EstimateS)
}

// The states of a booking.
type bookState uint8

const (
	bookPlanned   bookState = iota // waits for its host to be durable
	bookQueued                     // its start leaves with the end of this step
	bookSent                       // a start is on its way, or its outcome is unknown
	bookConfirmed                  // the worker has executed the start, or reported the task
)

// booking is room taken on a machine for one attempt of a task.
type booking struct {
	job, task int32
	zone      int32
	attempt   uint64
	state     bookState
	// answered is the seq of the report whose answer carried the start; 0: a
	// direct command did. Only a later report tells that it was not executed.
	answered uint64
	seen     uint64 // the last look at a report that listed it
	status   string // as last reported
	share    float64
	phase    uint32
	ranSince time.Duration // when it was first seen running
	stopping bool
	grace    float64
}

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

func (m *machine) known(term uint64) bool {
	return m.state == machineUp && m.echo>>tokenBits == term
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

// names maps names to dense indices.
type names struct {
	index map[string]int32
	list  []string
}

func (n *names) of(name string) int32 {
	if i, ok := n.index[name]; ok {
		return i
	}
	if n.index == nil {
		n.index = map[string]int32{}
	}
	name = strings.Clone(name) // mostly a part of a message's body
	i := int32(len(n.list))
	n.index[name] = i
	n.list = append(n.list, name)
	return i
}

// units counts a team's resources exactly.
type units struct{ cpus, gpus int64 }

const perUnit = 1e6

func unitsOf(s slowfit.Size) units {
	return units{int64(math.Ceil(s.CPUs*perUnit - 1e-3)), int64(math.Ceil(s.GPUs*perUnit - 1e-3))}
}

func (u units) plus(o units) units        { return units{u.cpus + o.cpus, u.gpus + o.gpus} }
func (u units) times(n int) units         { return units{u.cpus * int64(n), u.gpus * int64(n)} }
func (u units) minus(o units) units       { return units{u.cpus - o.cpus, u.gpus - o.gpus} }
func limitUnits(cpus, gpus float64) units { return units{int64(cpus * perUnit), int64(gpus * perUnit)} }

// within tells whether u keeps to a limit; a zero in the limit sets none.
func (u units) within(limit units) bool {
	return (limit.cpus == 0 || u.cpus <= limit.cpus) && (limit.gpus == 0 || u.gpus <= limit.gpus)
}

type team struct {
	guarantee, limit units
	booked           units // all bookings, whatever their state
}

// The tags of ledger writes.
type (
	hostTag struct {
		job      int32
		from, to int
	}
	finTag struct {
		job   int32
		tasks []int32
	}
	terminalTag struct{ job int32 }
	hireTag     struct{ name string }
	noteTag     struct{ key string }
)

// IsTag marks the tags for the ledger.
func (hostTag) IsTag()     {}
func (finTag) IsTag()      {}
func (terminalTag) IsTag() {}
func (hireTag) IsTag()     {}
func (noteTag) IsTag()     {}
