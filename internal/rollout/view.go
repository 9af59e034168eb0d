package rollout

import "time"

// View is the state of the cluster as a plan needs it.
type View struct {
	// Now is the time by a monotonic clock, WallMS the time of day.
	Now    time.Duration
	WallMS int64
	// MayMove means that jobs may be disrupted: the leader knows the disruptions that earlier
	// leaders may have caused.
	MayMove bool
	// Candidates are the machines that the plan selects, without those of the batch.
	Candidates []Machine
	Batch      []Machine
	// Hired are the machines that the request for replacements has brought; nil before that.
	Hired        []string
	Replacements []Replacement
	// Running is the number of running jobs of a group.
	Running func(Group) int
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
		sum += t.Lost
	}
	return sum
}

// Task is a task on a machine that a plan drains.
type Task struct {
	Job   Job
	Index int
	// Left is the time for which it is expected to run on, and Lost the progress that it would
	// lose by an eviction now.
	Left, Lost time.Duration
	// Slack is the time by which the job may be delayed without it or a job that depends on it
	// missing a deadline.
	Slack    time.Duration
	Stopping bool
	// HasRoom means that another machine has the capacity for it.
	HasRoom bool
}

// Replacement is a machine that was rented before those of the batch are drained.
type Replacement struct {
	Name string
	// Healthy is the time for which it has been up without a fault; 0 before it is up.
	Healthy time.Duration
	Failed  bool
}

// Act is an action that the caller has to carry out. It may be returned again until its effect
// shows in the view, so carrying it out must be idempotent.
type Act interface{ isAct() }

func (MoveTask) isAct()      {}
func (ReturnMachine) isAct() {}
func (HireAhead) isAct()     {}

// The actions.
type (
	// MoveTask stops a task after it has saved a checkpoint, if it can.
	MoveTask struct {
		Machine, Ref string
		Task         int
	}
	// ReturnMachine returns an empty machine.
	ReturnMachine struct{ Machine string }
	// HireAhead rents a replacement for each machine of a list. The request's name is used for
	// one scale-out only.
	HireAhead struct {
		Request string
		Like    []string
	}
)
