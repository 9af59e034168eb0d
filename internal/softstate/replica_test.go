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

// modelLeader is a model of a leader with its machines and the names of those still to be sent.
type modelLeader struct {
	term     uint64
	machines map[string]Machine
	pending  map[string]bool
	sequence uint64
}

// nextBatch returns the stream's next batch, of at most two machines.
func (l *modelLeader) nextBatch() Batch {
	l.sequence++
	batch := Batch{Term: l.term, Sequence: l.sequence}
	for _, name := range slices.Sorted(maps.Keys(l.pending)) {
		m, ok := l.machines[name]
		if !ok {
			m = Machine{Name: name, Gone: true}
		}
		batch.Machines = append(batch.Machines, m)
		delete(l.pending, name)
		if len(batch.Machines) == 2 {
			break
		}
	}
	return batch
}

// openStream starts a new stream, in which all machines are sent.
func (l *modelLeader) openStream() {
	l.sequence, l.pending = 0, map[string]bool{}
	for name := range l.machines {
		l.pending[name] = true
	}
}

// TestReplicaMatchesLeader checks that the replica equals the leader's state whenever a stream is
// complete, and never returns to an older term, although leaders change, streams break and are
// reopened, and batches are duplicated, skipped, delayed and of older terms.
func TestReplicaMatchesLeader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chooser := property.RapidChooser{T: t}
		now := time.Unix(1000, 0)
		replica, leader := NewReplica(), &modelLeader{term: 1, machines: map[string]Machine{}}
		leader.openStream()
		replica.BeginStream()
		var earlierBatches []Batch
		// reopenStream opens a new stream. Of the batches of earlier streams it keeps only those of
		// older terms.
		reopenStream := func() {
			leader.openStream()
			replica.BeginStream()
			earlierBatches = slices.DeleteFunc(earlierBatches, func(batch Batch) bool { return batch.Term >= replica.term })
		}
		apply := func(batch Batch) {
			if err := replica.Apply(batch, now); err != nil {
				t.Fatalf("batch %d of term %d: %v", batch.Sequence, batch.Term, err)
			}
			earlierBatches = append(earlierBatches, batch)
		}
		for range 1 + chooser.IntN(60) {
			switch chooser.IntN(7) {
			case 0, 1: // a machine changes
				name := fmt.Sprintf("vm-%d", chooser.IntN(5))
				leader.machines[name] = Machine{Name: name, AgentEpoch: uint64(1 + chooser.IntN(9))}
				leader.pending[name] = true
			case 2: // a machine is deleted
				name := fmt.Sprintf("vm-%d", chooser.IntN(5))
				delete(leader.machines, name)
				leader.pending[name] = true
			case 3:
				apply(leader.nextBatch())
			case 4: // the stream breaks
				reopenStream()
			case 5: // another controller becomes the leader
				apply(leader.nextBatch())
				leader = &modelLeader{term: leader.term + 1, machines: map[string]Machine{}}
				reopenStream()
			case 6: // a batch after a gap, and batches that were applied before
				before, term := maps.Clone(replica.machines), replica.term
				skipped := leader.nextBatch()
				skipped.Sequence++
				if err := replica.Apply(skipped, now); !errors.Is(err, ErrMissingBatch) {
					t.Fatalf("a batch after a gap: error %v, want ErrMissingBatch", err)
				}
				for _, batch := range earlierBatches {
					if err := replica.Apply(batch, now); batch.Term < term && !errors.Is(err, ErrStaleTerm) {
						t.Fatalf("a batch of term %d in term %d: error %v, want ErrStaleTerm", batch.Term, term, err)
					}
					if replica.term != term || !reflect.DeepEqual(replica.machines, before) {
						t.Fatalf("batch %d of term %d was applied again", batch.Sequence, batch.Term)
					}
				}
				reopenStream()
			}
			if leader.sequence > 0 && len(leader.pending) == 0 && replica.sequence == leader.sequence && replica.term == leader.term {
				got := replica.View(leader.term+1, now).Machines
				if len(got) != len(leader.machines) {
					t.Fatalf("machines %v, the leader has %v", got, leader.machines)
				}
				for name, m := range leader.machines {
					if got[name].AgentEpoch != m.AgentEpoch {
						t.Fatalf("%s: agent epoch %d, the leader has %d", name, got[name].AgentEpoch, m.AgentEpoch)
					}
				}
			}
			if v := replica.View(replica.term, now); len(v.Machines) > 0 {
				t.Fatal("a term uses its own soft state")
			}
		}
	})
}

// TestInvalidBatchesAreRefused checks that a batch with values that no leader sends is refused and
// leaves the replica unchanged.
func TestInvalidBatchesAreRefused(t *testing.T) {
	cases := map[string]Batch{
		"no term":                        {Sequence: 1},
		"machine without a name":         {Term: 1, Sequence: 1, Machines: []Machine{{}}},
		"heartbeat in the future":        {Term: 1, Sequence: 1, Machines: []Machine{{Name: "vm-1", SinceHeartbeat: -1}}},
		"negative run time":              {Term: 1, Sequence: 1, Machines: []Machine{{Name: "vm-1", Allocations: []Allocation{{Running: -1}}}}},
		"too many allocations":           {Term: 1, Sequence: 1, Machines: []Machine{{Name: "vm-1", Allocations: make([]Allocation, maxAllocations+1)}}},
		"run ratio that is not a number": {Term: 1, Sequence: 1, Estimates: &Estimates{RunRatios: map[string]float64{"c": math.NaN()}}},
		"negative boot time":             {Term: 1, Sequence: 1, Estimates: &Estimates{BootSeconds: map[string]float64{"m8": -1}}},
		"negative back-off":              {Term: 1, Sequence: 1, Estimates: &Estimates{Pools: []CapacityPool{{BackoffLeft: -1}}}},
		"too many machines":              {Term: 1, Sequence: 1, Machines: make([]Machine, MaxMachines+1)},
	}
	for name, batch := range cases {
		replica := NewReplica()
		if name == "too many machines" {
			for i := range batch.Machines {
				batch.Machines[i].Name = fmt.Sprint(i)
			}
		}
		if err := replica.Apply(batch, time.Now()); err == nil || replica.Term() != 0 || replica.MachineCount() != 0 {
			t.Errorf("%s: error %v, want the batch refused and the replica empty", name, err)
		}
	}
}

// TestSoftStateAges checks that durations advance between the receipt of a batch and the beginning of
// the term, and that estimates older than maxEstimateAge are dropped.
func TestSoftStateAges(t *testing.T) {
	now := time.Now()
	replica := NewReplica()
	estimates := &Estimates{RunRatios: map[string]float64{"c": 2}, Pools: []CapacityPool{{Type: "m8", BackoffLeft: 5 * time.Second}}}
	batch := Batch{Term: 1, Sequence: 1, Estimates: estimates, Machines: []Machine{
		{Name: "vm-1", Allocations: []Allocation{{Attempt: 1, Running: time.Second}, {Attempt: 2}}}, {Name: "vm-2", Idle: time.Second}}}
	if err := replica.Apply(decode(encode(batch)), now); err != nil {
		t.Fatal(err)
	}
	v := replica.View(2, now.Add(3*time.Second))
	if allocations := v.Machines["vm-1"].Allocations; allocations[0].Running != 4*time.Second || allocations[1].Running != 0 || v.Machines["vm-2"].Idle != 4*time.Second {
		t.Errorf("machines after 3s: %+v, want the run time and the idle time 3s longer, and 0 for the attempt that is not running", v.Machines)
	}
	if v.Estimates.RunRatios["c"] != 2 || v.Estimates.Pools[0].BackoffLeft != 2*time.Second {
		t.Errorf("estimates after 3s: %+v, want the run ratio 2 and a back-off of 2s left", v.Estimates)
	}
	if lateView := replica.View(2, now.Add(2*maxEstimateAge)); lateView.Estimates.RunRatios != nil {
		t.Errorf("old estimates are used: %+v", lateView.Estimates)
	}
}
