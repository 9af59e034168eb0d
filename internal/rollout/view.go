package rollout

import "time"

// View is the state of the cluster as a plan needs it.
type View struct {
	// Now is the time by a monotonic clock, WallMS the time of day.
	Now    time.Duration
	WallMS int64
	// MayDisrupt means that jobs may be disrupted: the leader knows the disruptions that earlier
	// leaders may have caused.
	MayDisrupt bool
	// Candidates are the machines that the plan selects, without those of the batch.
	Candidates []Machine
	Batch      []Machine
	// Rented are the machines that the request for replacements has brought; nil before that.
	Rented       []string
	Replacements []Replacement
	// RunningJobs is the number of running jobs of a group.
	RunningJobs func(Group) int
}

// Machine is a machine that a plan drains.
type Machine struct {
	Name  string
	Tasks []Task
	// Empty is proven: the machine has no task, and no start command can still take effect.
	Empty bool
	// Gone means that the machine does not exist any more.
	Gone bool
}

// lostProgress is the progress that all tasks of the machine would lose.
func (m *Machine) lostProgress() time.Duration {
	var sum time.Duration
	for _, t := range m.Tasks {
		sum += t.LostProgress
	}
	return sum
}

// Task is a task on a machine that a plan drains.
type Task struct {
	Job   Job
	Index int
	// RemainingRun is the time for which it is expected to run on, and LostProgress the progress that it would
	// lose by an eviction now.
	RemainingRun, LostProgress time.Duration
	// Slack is the time by which the job may be delayed without it or a job that depends on it
	// missing a deadline.
	Slack    time.Duration
	Stopping bool
	// FitsElsewhere means that another machine has the capacity for it.
	FitsElsewhere bool
}

// Replacement is a machine that was rented before those of the batch are drained.
type Replacement struct {
	Name string
	// HealthyFor is the time for which it has been up without a fault; 0 before it is up.
	HealthyFor time.Duration
	Failed     bool
}

// Action is an action that the caller has to carry out. It may be returned again until its effect
// shows in the view, so carrying it out must be idempotent.
type Action interface{ isAction() }

func (EvictTask) isAction()        {}
func (ReturnMachine) isAction()    {}
func (RentReplacements) isAction() {}

// The actions.
type (
	// EvictTask stops a task after it has saved a checkpoint, if it can.
	EvictTask struct {
		Machine, JobID string
		Task           int
	}
	// ReturnMachine returns an empty machine.
	ReturnMachine struct{ Machine string }
	// RentReplacements rents a replacement for each machine of a list. The request's name is used for
	// one scale-out only.
	RentReplacements struct {
		RequestID string
		Replaced  []string
	}
)
