package soak

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"leadproxy/internal/fake"
)

// messages is what befalls requests of one path, as long as it is set.
type messages struct {
	path   string
	fault  atomic.Pointer[faulty]
	random chan *rand.Rand
}

// faulty has a share of requests befallen by a fault.
type faulty struct {
	fault       fake.Fault
	share       float64
	least, most time.Duration // how late
}

func newMessages(path string, seed uint64) *messages {
	m := &messages{path: path, random: make(chan *rand.Rand, 1)}
	m.random <- rand.New(rand.NewPCG(seed, 2))
	return m
}

// befall decides what becomes of a request.
func (m *messages) befall(_ string, r *http.Request) fake.Trouble {
	f := m.fault.Load()
	if f == nil || r.Method != http.MethodPost || m.path != "" && r.URL.Path != m.path {
		return fake.Trouble{}
	}
	random := <-m.random
	defer func() { m.random <- random }()
	if random.Float64() >= f.share {
		return fake.Trouble{}
	}
	return fake.Trouble{Fault: f.fault, For: f.least + time.Duration(random.Float64()*float64(f.most-f.least))}
}

// set has a fault befall the requests; the result ends that.
func (m *messages) set(f faulty) (end func()) {
	m.fault.Store(&f)
	return func() { m.fault.CompareAndSwap(&f, nil) }
}

// How late messages come that are held up.
const (
	leastLate = 2 * time.Second
	mostLate  = 14 * time.Second
)

// begin has a trouble begin and returns how it ends.
func (r *run) begin(t trouble) (end func()) {
	switch t.kind {
	case killOne, killAll, killLeaders, freeze:
		return r.beginWithProcesses(t)
	case cutState, cutPeers, cutWorkers, onlyWorkers:
		return r.lose(r.linksOf(t), t.ways)
	case hang, deaf, mute, reboot, taken, lateReports, oldReports:
		return r.beginWithMachines(t)
	case outage:
		r.d.Store.Outage(true)
		return func() { r.d.Store.Outage(false) }
	case slowState:
		r.d.Store.Slow(time.Duration(t.share * float64(time.Second)))
		return func() { r.d.Store.Slow(0) }
	case lateWrites:
		return r.writes.set(faulty{fake.Delayed, t.share, leastLate, mostLate})
	case lostAnswers:
		return r.writes.set(faulty{fault: fake.AnswerLost, share: t.share})
	case lostCommands:
		return r.commands.set(faulty{fault: fake.RequestLost, share: min(1, 2*t.share)})
	case lateCommands:
		return r.commands.set(faulty{fake.Delayed, min(1, 2*t.share), leastLate, mostLate})
	case twoCommands:
		return r.commands.set(faulty{fault: fake.Duplicated, share: min(1, 2*t.share)})
	case cloudOut:
		return r.calls.set(faulty{fault: fake.Refused, share: 1})
	case cancelMany:
		r.cancelSome(t.share)
	}
	return func() {}
}

// controller is the one that a trouble befalls.
func (r *run) controller(t trouble) int {
	if at := fake.Leader(r.d.Store, r.d.Controllers); t.target == leader && at >= 0 {
		return at
	}
	return max(t.target, 0)
}

func (r *run) beginWithProcesses(t trouble) (end func()) {
	at := r.controller(t)
	nodes := []*fake.Process{r.d.Controllers[at]}
	if t.kind == killAll {
		nodes = r.d.Controllers
	}
	for _, n := range nodes {
		if t.kind == freeze {
			n.Suspend()
		} else {
			n.Kill()
		}
	}
	return func() {
		for _, n := range nodes {
			r.resume(n)
		}
	}
}

// resume has a controller run, whatever befell it.
func (r *run) resume(n *fake.Process) {
	if n.Running() {
		n.Resume()
	} else {
		n.Start(r.program)
	}
}

// linksOf are the relays that a trouble befalls.
func (r *run) linksOf(t trouble) []*fake.Relay {
	l := &r.d.Relays[r.controller(t)]
	switch t.kind {
	case cutState:
		return []*fake.Relay{l.Store}
	case cutPeers:
		return l.Peers
	case cutWorkers:
		return []*fake.Relay{l.Workers}
	}
	return append([]*fake.Relay{l.Store}, l.Peers...)
}

// lose has what goes some ways through relays vanish; the result ends that.
func (r *run) lose(relays []*fake.Relay, ways []fake.Direction) (end func()) {
	set := func(on bool) {
		for _, relay := range relays {
			for _, way := range ways {
				relay.SetDropping(way, on)
			}
		}
	}
	set(true)
	return func() { set(false) }
}

func (r *run) beginWithMachines(t trouble) (end func()) {
	workers := r.someWorkers(t.share)
	act := map[kind]func(w *fake.Worker, on bool){
		hang: (*fake.Worker).Hang, deaf: (*fake.Worker).CutInbound, mute: (*fake.Worker).CutOutbound,
		reboot: func(w *fake.Worker, on bool) {
			if on {
				w.Reboot()
			}
		},
		taken: func(w *fake.Worker, on bool) {
			if on {
				r.d.Cloud.Take(w.Name())
			}
		},
		lateReports: func(w *fake.Worker, on bool) {
			if !on {
				w.DuplicateReports(nil)
				return
			}
			late := leastLate + time.Duration(r.random.Int64N(int64(mostLate)))
			w.DuplicateReports(func() time.Duration { return late })
		},
		oldReports: func(w *fake.Worker, on bool) {
			if on {
				w.SaveReport()
			} else {
				w.ReplayReport()
			}
		},
	}[t.kind]
	for _, w := range workers {
		act(w, true)
	}
	return func() {
		for _, w := range workers {
			act(w, false)
		}
	}
}

// someWorkers is a share of the machines that are up.
func (r *run) someWorkers(share float64) []*fake.Worker {
	return slices.DeleteFunc(r.d.Cloud.Workers(), func(*fake.Worker) bool { return r.random.Float64() >= share })
}
