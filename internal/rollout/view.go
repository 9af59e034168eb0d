package rollout

import "time"

// View is the state of the cluster that a plan needs for a step.
type View struct {
	// Now is the monotonic time, and WallMS the wall clock time.
	Now    time.Duration
	WallMS int64
	// MayDisrupt means that jobs may be disrupted: the leader knows the disruptions that earlier
	// leaders may have caused.
	MayDisrupt bool
	// Candidates has the machines that the plan selects, except for those of the batch. It is
	// needed only in PhaseSelecting.
	Candidates []Machine
	Batch      []Machine
	// Rented has the machines that were rented as replacements. It is nil until all requests
	// for them have completed.
	Rented       []string
	Replacements []Replacement
	// RunningJobs returns the number of running jobs of a group.
	RunningJobs func(Group) int
}

// Machine is a machine that a plan drains.
type Machine struct {
	Name  string
	Tasks []Task
	// Empty means that it is proven that the machine has no task and that no start command can
	// still take effect there.
	Empty bool
	// Gone means that the machine no longer exists.
	Gone bool
}

// lostProgress returns the progress that all tasks of the machine together would lose.
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
	// RemainingRun is the expected remaining run time, and LostProgress the progress that an
	// eviction now would lose.
	RemainingRun, LostProgress time.Duration
	// Slack is how much the job may be delayed before it or a job that depends on it misses its
	// deadline.
	Slack    time.Duration
	Stopping bool
	// FitsElsewhere means that another machine has free capacity for the task.
	FitsElsewhere bool
}

// Replacement is a machine that was rented before the machines of the batch are drained.
type Replacement struct {
	Name string
	// HealthyFor is how long the machine has been up without a fault; 0 if it is not up yet.
	HealthyFor time.Duration
	Failed     bool
}

// Action is an action that the caller has to carry out. The same action may be returned again
// until its effect shows in the view, so carrying it out must be idempotent.
type Action interface{ isAction() }

func (EvictTask) isAction()        {}
func (ReturnMachine) isAction()    {}
func (RentReplacements) isAction() {}

// The actions.
type (
	// EvictTask stops a task. The task saves a checkpoint first if it can.
	EvictTask struct {
		Machine, JobID string
		Task           int
	}
	// ReturnMachine returns an empty machine.
	ReturnMachine struct{ Machine string }
	// RentReplacements rents one replacement for each machine of Replaced. A request ID is used
	// for one scale-out only.
	RentReplacements struct {
		RequestID string
		Replaced  []string
	}
)
