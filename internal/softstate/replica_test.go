package softstate

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"leadproxy/internal/property"
)

// modelLeader is a leader of the model: its machines, and what a stream has still to bring.
type modelLeader struct {
	term     uint64
	machines map[string]Machine
	pending  map[string]bool
	sequence uint64
}

// next is the stream's next batch, of at most two machines.
func (l *modelLeader) next() Batch {
	l.sequence++
	b := Batch{Term: l.term, Sequence: l.sequence}
	for _, name := range slices.Sorted(maps.Keys(l.pending)) {
		m, ok := l.machines[name]
		if !ok {
			m = Machine{Name: name, Gone: true}
		}
		b.Machines = append(b.Machines, m)
		delete(l.pending, name)
		if len(b.Machines) == 2 {
			break
		}
	}
	return b
}

// open begins a stream: everything is to be brought.
func (l *modelLeader) open() {
	l.sequence, l.pending = 0, map[string]bool{}
	for name := range l.machines {
		l.pending[name] = true
	}
}

// TestInboxHoldsWhatALeaderTold: leaders follow one another, streams break and begin anew,
// batches are doubled, skipped, late and of older terms. Whenever a stream has brought
// everything, the inbox holds what the leader does, and it never goes back to an older term.
func TestInboxHoldsWhatALeaderTold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := property.Drawn{T: t}
		now := time.Unix(1000, 0)
		inbox, leader := NewReplica(), &modelLeader{term: 1, machines: map[string]Machine{}}
		leader.open()
		inbox.Begin()
		var old []Batch
		// begin opens a stream. Batches of the ones before are only of older terms.
		begin := func() {
			leader.open()
			inbox.Begin()
			old = slices.DeleteFunc(old, func(b Batch) bool { return b.Term >= inbox.term })
		}
		must := func(b Batch) {
			if err := inbox.Apply(b, now); err != nil {
				t.Fatalf("batch %d of term %d: %v", b.Sequence, b.Term, err)
			}
			old = append(old, b)
		}
		for range 1 + c.IntN(60) {
			switch c.IntN(7) {
			case 0, 1: // a machine changes
				name := fmt.Sprintf("vm-%d", c.IntN(5))
				leader.machines[name] = Machine{Name: name, AgentEpoch: uint64(1 + c.IntN(9))}
				leader.pending[name] = true
			case 2: // a machine goes
				name := fmt.Sprintf("vm-%d", c.IntN(5))
				delete(leader.machines, name)
				leader.pending[name] = true
			case 3:
				must(leader.next())
			case 4: // the stream breaks
				begin()
			case 5: // another leader
				must(leader.next())
				leader = &modelLeader{term: leader.term + 1, machines: map[string]Machine{}}
				begin()
			case 6: // what must change nothing
				before, term := maps.Clone(inbox.machines), inbox.term
				skipped := leader.next()
				skipped.Sequence++
				if err := inbox.Apply(skipped, now); !errors.Is(err, ErrGap) {
					t.Fatalf("a gap: %v", err)
				}
				for _, b := range old {
					if err := inbox.Apply(b, now); b.Term < term && !errors.Is(err, ErrOldTerm) {
						t.Fatalf("a batch of term %d in term %d: %v", b.Term, term, err)
					}
					if inbox.term != term || !reflect.DeepEqual(inbox.machines, before) {
						t.Fatalf("batch %d of term %d was taken again", b.Sequence, b.Term)
					}
				}
				begin()
			}
			if leader.sequence > 0 && len(leader.pending) == 0 && inbox.sequence == leader.sequence && inbox.term == leader.term {
				got := inbox.View(leader.term+1, now).Machines
				if len(got) != len(leader.machines) {
					t.Fatalf("%v, the leader has %v", got, leader.machines)
				}
				for name, m := range leader.machines {
					if got[name].AgentEpoch != m.AgentEpoch {
						t.Fatalf("%s: session %d, the leader has %d", name, got[name].AgentEpoch, m.AgentEpoch)
					}
				}
			}
			if v := inbox.View(inbox.term, now); len(v.Machines) > 0 {
				t.Fatal("a term has its own hints")
			}
		}
	})
}

// TestInvalidHintsAreRefused: what no leader would send changes nothing.
func TestInvalidHintsAreRefused(t *testing.T) {
	cases := map[string]Batch{
		"no term":           {Sequence: 1},
		"no name":           {Term: 1, Sequence: 1, Machines: []Machine{{}}},
		"heard in future":   {Term: 1, Sequence: 1, Machines: []Machine{{Name: "vm-1", SinceHeartbeat: -1}}},
		"ran before it ran": {Term: 1, Sequence: 1, Machines: []Machine{{Name: "vm-1", Allocations: []Allocation{{Running: -1}}}}},
		"many bookings":     {Term: 1, Sequence: 1, Machines: []Machine{{Name: "vm-1", Allocations: make([]Allocation, maxBookings+1)}}},
		"not a number":      {Term: 1, Sequence: 1, Estimates: &Estimates{RunRatios: map[string]float64{"c": math.NaN()}}},
		"a negative boot":   {Term: 1, Sequence: 1, Estimates: &Estimates{BootSeconds: map[string]float64{"m8": -1}}},
		"a negative offer":  {Term: 1, Sequence: 1, Estimates: &Estimates{Pools: []CapacityPool{{BackoffLeft: -1}}}},
		"too many machines": {Term: 1, Sequence: 1, Machines: make([]Machine, MaxMachines+1)},
	}
	for name, batch := range cases {
		inbox := NewReplica()
		if name == "too many machines" {
			for i := range batch.Machines {
				batch.Machines[i].Name = fmt.Sprint(i)
			}
		}
		if err := inbox.Apply(batch, time.Now()); err == nil || inbox.Term() != 0 || inbox.Size() != 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestHintsAge: times go on between the hint and the term, and what is learned is dropped
// once it is old.
func TestHintsAge(t *testing.T) {
	now := time.Now()
	inbox := NewReplica()
	learned := &Estimates{RunRatios: map[string]float64{"c": 2}, Pools: []CapacityPool{{Type: "m8", BackoffLeft: 5 * time.Second}}}
	batch := Batch{Term: 1, Sequence: 1, Estimates: learned, Machines: []Machine{
		{Name: "vm-1", Allocations: []Allocation{{Attempt: 1, Running: time.Second}, {Attempt: 2}}}, {Name: "vm-2", Idle: time.Second}}}
	if err := inbox.Apply(decode(encode(batch)), now); err != nil {
		t.Fatal(err)
	}
	v := inbox.View(2, now.Add(3*time.Second))
	if b := v.Machines["vm-1"].Allocations; b[0].Running != 4*time.Second || b[1].Running != 0 || v.Machines["vm-2"].Idle != 4*time.Second {
		t.Errorf("%+v", v.Machines)
	}
	if v.Estimates.RunRatios["c"] != 2 || v.Estimates.Pools[0].BackoffLeft != 2*time.Second {
		t.Errorf("%+v", v.Estimates)
	}
	if late := inbox.View(2, now.Add(2*oldest)); late.Estimates.RunRatios != nil {
		t.Errorf("old: %+v", late.Estimates)
	}
}
