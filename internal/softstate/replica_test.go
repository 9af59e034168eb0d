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

// modelLeader is the model of a leader: its machines, and the machines still to be sent.
type modelLeader struct {
	term     uint64
	machines map[string]Machine
	pending  map[string]bool
	sequence uint64
}

// nextBatch is the stream's next batch, of at most two machines.
func (l *modelLeader) nextBatch() Batch {
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

// openStream starts a stream, in which all machines are sent.
func (l *modelLeader) openStream() {
	l.sequence, l.pending = 0, map[string]bool{}
	for name := range l.machines {
		l.pending[name] = true
	}
}

// TestReplicaMatchesLeader: leaders succeed one another, streams break and are opened again,
// batches are duplicated, skipped, delayed and of older terms. Whenever a stream is complete, the
// replica equals the leader's state, and it never returns to an older term.
func TestReplicaMatchesLeader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := property.RapidChooser{T: t}
		now := time.Unix(1000, 0)
		replica, leader := NewReplica(), &modelLeader{term: 1, machines: map[string]Machine{}}
		leader.openStream()
		replica.BeginStream()
		var old []Batch
		// begin opens a stream. Batches of the ones before are only of older terms.
		begin := func() {
			leader.openStream()
			replica.BeginStream()
			old = slices.DeleteFunc(old, func(b Batch) bool { return b.Term >= replica.term })
		}
		must := func(b Batch) {
			if err := replica.Apply(b, now); err != nil {
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
				must(leader.nextBatch())
			case 4: // the stream breaks
				begin()
			case 5: // another leader
				must(leader.nextBatch())
				leader = &modelLeader{term: leader.term + 1, machines: map[string]Machine{}}
				begin()
			case 6: // what must change nothing
				before, term := maps.Clone(replica.machines), replica.term
				skipped := leader.nextBatch()
				skipped.Sequence++
				if err := replica.Apply(skipped, now); !errors.Is(err, ErrMissingBatch) {
					t.Fatalf("a gap: %v", err)
				}
				for _, b := range old {
					if err := replica.Apply(b, now); b.Term < term && !errors.Is(err, ErrStaleTerm) {
						t.Fatalf("a batch of term %d in term %d: %v", b.Term, term, err)
					}
					if replica.term != term || !reflect.DeepEqual(replica.machines, before) {
						t.Fatalf("batch %d of term %d was taken again", b.Sequence, b.Term)
					}
				}
				begin()
			}
			if leader.sequence > 0 && len(leader.pending) == 0 && replica.sequence == leader.sequence && replica.term == leader.term {
				got := replica.View(leader.term+1, now).Machines
				if len(got) != len(leader.machines) {
					t.Fatalf("%v, the leader has %v", got, leader.machines)
				}
				for name, m := range leader.machines {
					if got[name].AgentEpoch != m.AgentEpoch {
						t.Fatalf("%s: session %d, the leader has %d", name, got[name].AgentEpoch, m.AgentEpoch)
					}
				}
			}
			if v := replica.View(replica.term, now); len(v.Machines) > 0 {
				t.Fatal("a term uses its own soft state")
			}
		}
	})
}

// TestInvalidBatchesAreRefused: a batch with values that no leader sends leaves the replica unchanged.
func TestInvalidBatchesAreRefused(t *testing.T) {
	cases := map[string]Batch{
		"no term":           {Sequence: 1},
		"no name":           {Term: 1, Sequence: 1, Machines: []Machine{{}}},
		"heard in future":   {Term: 1, Sequence: 1, Machines: []Machine{{Name: "vm-1", SinceHeartbeat: -1}}},
		"ran before it ran": {Term: 1, Sequence: 1, Machines: []Machine{{Name: "vm-1", Allocations: []Allocation{{Running: -1}}}}},
		"many bookings":     {Term: 1, Sequence: 1, Machines: []Machine{{Name: "vm-1", Allocations: make([]Allocation, maxAllocations+1)}}},
		"not a number":      {Term: 1, Sequence: 1, Estimates: &Estimates{RunRatios: map[string]float64{"c": math.NaN()}}},
		"a negative boot":   {Term: 1, Sequence: 1, Estimates: &Estimates{BootSeconds: map[string]float64{"m8": -1}}},
		"a negative offer":  {Term: 1, Sequence: 1, Estimates: &Estimates{Pools: []CapacityPool{{BackoffLeft: -1}}}},
		"too many machines": {Term: 1, Sequence: 1, Machines: make([]Machine, MaxMachines+1)},
	}
	for name, batch := range cases {
		replica := NewReplica()
		if name == "too many machines" {
			for i := range batch.Machines {
				batch.Machines[i].Name = fmt.Sprint(i)
			}
		}
		if err := replica.Apply(batch, time.Now()); err == nil || replica.Term() != 0 || replica.MachineCount() != 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestSoftStateAges: durations advance between the batch and the term, and old estimates are
// dropped.
func TestSoftStateAges(t *testing.T) {
	now := time.Now()
	replica := NewReplica()
	learned := &Estimates{RunRatios: map[string]float64{"c": 2}, Pools: []CapacityPool{{Type: "m8", BackoffLeft: 5 * time.Second}}}
	batch := Batch{Term: 1, Sequence: 1, Estimates: learned, Machines: []Machine{
		{Name: "vm-1", Allocations: []Allocation{{Attempt: 1, Running: time.Second}, {Attempt: 2}}}, {Name: "vm-2", Idle: time.Second}}}
	if err := replica.Apply(decode(encode(batch)), now); err != nil {
		t.Fatal(err)
	}
	v := replica.View(2, now.Add(3*time.Second))
	if b := v.Machines["vm-1"].Allocations; b[0].Running != 4*time.Second || b[1].Running != 0 || v.Machines["vm-2"].Idle != 4*time.Second {
		t.Errorf("%+v", v.Machines)
	}
	if v.Estimates.RunRatios["c"] != 2 || v.Estimates.Pools[0].BackoffLeft != 2*time.Second {
		t.Errorf("%+v", v.Estimates)
	}
	if late := replica.View(2, now.Add(2*maxEstimateAge)); late.Estimates.RunRatios != nil {
		t.Errorf("old: %+v", late.Estimates)
	}
}
