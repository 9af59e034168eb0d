package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// TestLateCopiesOfStarts guards against a task that a late copy of an answered start runs beside itself or
// after its job was cancelled, although the task was moved, or moved back, while leaders change.
func TestLateCopiesOfStarts(t *testing.T) {
	movedBack, cancelled := 0, 0
	for seed := range uint64(150) {
		r := newConstraintHistory(t, rand.New(rand.NewPCG(seed, 56)))
		r.copies, r.maxAgents = true, 6
		for range 120 {
			r.performRandomAction()
			if t.Failed() {
				t.Fatalf("seed %d", seed)
			}
		}
		movedBack += r.movedBack
		cancelled += len(r.cancelledAt)
	}
	if movedBack == 0 || cancelled < 300 {
		t.Errorf("%d starts on machines that the task had left, %d jobs cancelled: the model shows little", movedBack, cancelled)
	}
}

// TestCopiesAfterTaskMovedBack guards against the same for a task that fails on each of two machines and so
// moves to the other one and back, twice. Copies of all commands so far arrive every second.
func TestCopiesAfterTaskMovedBack(t *testing.T) {
	const moves = 5
	r := &constraintHistory{t: t, random: rand.New(rand.NewPCG(1, 1)), harness: newHarness(t, ledger.Snapshot{}), copies: true,
		failures: map[string]map[string]time.Duration{}, done: map[string]int{}, cancelledAt: map[string]time.Duration{}, placedOn: map[string][]string{}}
	for range 2 {
		r.rentMachine()
	}
	for _, agent := range r.agents {
		agent.pool = wire.CapacityPool{Type: "m4", Zone: "a", Spot: true}
	}
	r.letTimePass(5)
	r.harness.submit(newTestJob("job-000001", 1, 1))
	for range moves {
		agent := r.awaitRunning()
		task := &agent.tasks[len(agent.tasks)-1]
		task.Status, task.ExitReason = wire.TaskEnded, wire.ExitError
		for range int(failureAvoidance.Seconds()) + 5 {
			r.sendHeartbeat(agent)
			r.letTimePass(1)
			for _, deliver := range r.late {
				deliver()
			}
		}
	}
	if r.movedBack < moves-1 || len(r.late) == 0 {
		t.Errorf("%d starts on machines that the task had left, %d copies: the test shows little", r.movedBack, len(r.late))
	}
}

// awaitRunning lets time pass until a task is running, and returns its agent.
func (r *constraintHistory) awaitRunning() *pooledAgent {
	const patience = 60 // seconds
	for range patience {
		r.letTimePass(1)
		for _, agent := range r.agents {
			if n := len(agent.tasks); n > 0 && agent.tasks[n-1].Status == wire.TaskRunning {
				return agent
			}
		}
	}
	r.t.Fatal("no task is running")
	return nil
}
