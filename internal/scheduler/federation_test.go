package scheduler

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"leadproxy/internal/federation"
	"leadproxy/internal/ledger"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// errUnreachable is the error of an exchange that a neighbour did not answer.
var errUnreachable = errors.New("the neighbour does not answer")

// newCellHarness returns a harness for cell "lima" with neighbour "puno". Its only machine has
// four cores and is up, and the settings allow no further machine.
func newCellHarness(t *testing.T, change func(operator *settings.Operator), teams ...settings.Team) *harness {
	h := newHarnessWithSettings(t, cellSettings(change), ledger.Snapshot{}, teams...)
	h.bringUp("vm-1")
	h.step(TransfersEnabled{})
	return h
}

// cellSettings returns the operator settings of cell "lima".
func cellSettings(change func(operator *settings.Operator)) settings.Operator {
	operator := settings.Defaults()
	operator.MaxMachines = 1
	operator.Cells = settings.Cells{Name: "lima", DelegateJobs: true, ShortageFor: 5 * time.Second, MaxWait: 10 * time.Second, Repeatable: map[string]bool{},
		Neighbours: []settings.Neighbour{{Name: "puno", MaxJobs: 5, MaxCores: 40, MaxOfferedCores: 12, ReclaimAfter: time.Minute}}}
	if change != nil {
		change(&operator)
	}
	return operator
}

// waitReporting advances the time while the machine sends heartbeats with its tasks.
func (h *harness) waitReporting(d time.Duration, machine string, tasks ...wire.TaskStatus) {
	for end := h.now + d; h.now < end; {
		h.advance(time.Second)
		h.acknowledge(machine, tasks...)
	}
}

// fillMachine submits a job that takes the whole machine for long, and returns the status of its
// running tasks.
func (h *harness) fillMachine(jobID string) []wire.TaskStatus {
	j := newTestJob(jobID, 4, 1)
	j.EstimatedRunS = 1000
	h.submit(j)
	var running []wire.TaskStatus
	for _, start := range h.startCommands() {
		running = append(running, newTaskStatus(start, wire.TaskRunning, ""))
	}
	h.completeCommands(CommandExecuted)
	return running
}

// lastEffect returns the latest effect of a type, or false if there is none.
func lastEffect[E Effect](h *harness) (effect E, ok bool) {
	for i := len(h.otherEffects) - 1; i >= 0; i-- {
		if effect, ok = h.otherEffects[i].(E); ok {
			return effect, true
		}
	}
	return effect, false
}

// offersAfterShortage simulates a shortage and a neighbour that offers up to offeredCores. It
// returns the messages that are sent to the neighbour then.
func (h *harness) offersAfterShortage(offeredCores float64, running []wire.TaskStatus) (messages []string) {
	h.waitReporting(20*time.Second, "vm-1", running...)
	if request, ok := lastEffect[RequestCapacity](h); ok {
		h.step(CapacityResult{Cell: request.Cell, Cores: min(offeredCores, request.Cores), For: 5 * time.Second})
	}
	if send, ok := lastEffect[SendTransfers](h); ok {
		for _, m := range send.Messages {
			messages = append(messages, fmt.Sprintf("%s %s/%d", m.Kind, m.JobID, m.Epoch))
		}
	}
	return messages
}

// TestDelegation checks which jobs a cell that is short of capacity delegates.
func TestDelegation(t *testing.T) {
	zone := "a"
	cases := []struct {
		name         string
		change       func(operator *settings.Operator)
		changeJob    func(j *wire.Job)
		offeredCores float64
		want         string
	}{
		{"waits too long", nil, nil, 100, "offer job-2/1"},
		{"needs more than the offer", nil, nil, 1, ""},
		{"empty offer", nil, nil, 0, ""},
		{"bound to a zone", nil, func(j *wire.Job) { j.Zone = &zone }, 100, ""},
		{"has an unfinished dependency", nil, func(j *wire.Job) { j.DependsOn = []string{"job-1"} }, 100, ""},
		{"exceeds the cores that may be delegated", func(operator *settings.Operator) { operator.Cells.Neighbours[0].MaxCores = 1 }, nil, 100, ""},
		{"no jobs may be delegated", func(operator *settings.Operator) { operator.Cells.Neighbours[0].MaxJobs = 0 }, nil, 100, ""},
		{"the neighbour is being drained", func(operator *settings.Operator) { operator.Cells.Neighbours[0].Draining = true }, nil, 100, ""},
		{"delegation is disabled", func(operator *settings.Operator) { operator.Cells.DelegateJobs = false }, nil, 100, ""},
		{"machines can be rented", func(operator *settings.Operator) { operator.MaxMachines = 0 }, nil, 100, ""},
		{"within the maximum wait", func(operator *settings.Operator) { operator.Cells.MaxWait = time.Hour }, nil, 100, ""},
		{"its deadline is far off", nil, func(j *wire.Job) { j.DeadlineS = secondsPtr(7200) }, 100, ""},
		{"its deadline is near", func(operator *settings.Operator) { operator.Cells.MaxWait = time.Hour }, func(j *wire.Job) { j.DeadlineS = secondsPtr(60) }, 100, "offer job-2/1"},
		{"exceeds the limit of its team", nil, func(j *wire.Job) { j.Team = "tight" }, 100, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newCellHarness(t, c.change, settings.Team{Name: "t"}, settings.Team{Name: "tight", CPUsMax: 1})
			running := h.fillMachine("job-1")
			j := newTestJob("job-2", 2, 1)
			if c.changeJob != nil {
				c.changeJob(j)
			}
			h.submit(j)
			h.want("messages to the neighbour", strings.Join(h.offersAfterShortage(c.offeredCores, running), ", "), c.want)
		})
	}
}

func secondsPtr(s float64) *float64 { return &s }

// TestDelegatedJob checks a delegated job up to its end: it counts against its team's limit, is
// never placed here, and has ended once its terminal state is durable here.
func TestDelegatedJob(t *testing.T) {
	h := newCellHarness(t, nil, settings.Team{Name: "t"}, settings.Team{Name: "tight", CPUsMax: 3})
	tight := func(jobID string) *wire.Job {
		j := newTestJob(jobID, 2, 1)
		j.Team = "tight"
		return j
	}
	running := h.fillMachine("job-1")
	h.submit(tight("job-2"))
	h.want("number of offers", len(h.offersAfterShortage(100, running)), 1)
	h.want("state of the transfer record", h.writesByKey[ledger.DelegatedKey("job-2")].Value.(federation.DelegatedRecord).State, federation.Offered)
	answer := func(outcome federation.Outcome, running int) {
		h.step(TransferResult{Cell: "puno", Answers: []federation.Answer{{JobID: "job-2", Epoch: 1, Outcome: outcome, Running: running}}})
	}
	answer(federation.OutcomeAccepted, 2)
	h.want("job status while it runs at the neighbour", h.jobStatus("job-2"), wire.JobRunning)
	h.bringUp("vm-2")
	h.submit(tight("job-3"))
	h.want("tasks started within the team limit over both cells", len(h.startCommands()), 1)
	answer(federation.OutcomeDone, 0)
	h.want("job status after its end", h.jobStatus("job-2"), wire.JobDone)
	h.advance(time.Second)
	if send, ok := lastEffect[SendTransfers](h); !ok || send.Messages[0].Kind != federation.Release {
		t.Errorf("messages after the end: %+v, want a release", send)
	}
	answer(federation.OutcomeReleased, 0)
	if write := h.writesByKey[ledger.DelegatedKey("job-2")]; write.Value != nil {
		t.Errorf("transfer record after the release: %+v, want none", write.Value)
	}
}

// TestCancelOfADelegatedJob checks that the cancellation of a delegated job is confirmed once the
// neighbour has stored it, and refused at once while the neighbour is unreachable.
func TestCancelOfADelegatedJob(t *testing.T) {
	for _, unreachable := range []bool{false, true} {
		h := newCellHarness(t, nil)
		running := h.fillMachine("job-1")
		h.submit(newTestJob("job-2", 1, 1))
		h.offersAfterShortage(100, running)
		h.step(TransferResult{Cell: "puno", Answers: []federation.Answer{{JobID: "job-2", Epoch: 1, Outcome: federation.OutcomeAccepted}}})
		if unreachable {
			h.step(TransferResult{Cell: "puno", Err: errUnreachable})
		}
		h.otherEffects = nil
		h.step(CancelRequest{JobID: "job-2", ReplyTo: testRecipient("u")})
		reply, ok := lastEffect[UserReply](h)
		h.want("immediate reply", ok, unreachable)
		h.want("reply that the cell is unreachable", reply.CellUnreachable, unreachable)
		h.step(TransferResult{Cell: "puno", Answers: []federation.Answer{{JobID: "job-2", Epoch: 1, Outcome: federation.OutcomeCancelled}}})
		h.want("job status after the answer", h.jobStatus("job-2"), wire.JobCancelled)
	}
}

// TestUnknownTransfer: a job whose transfer record can't be read may run in another cell. It was
// rightly not started here, but its cancellation was confirmed although it might still have run.
func TestUnknownTransfer(t *testing.T) {
	h := newHarness(t, ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-1", Version: 1, Record: ledger.JobRecord{Job: newTestJob("job-1", 1, 1)}}},
		Delegated: []ledger.SavedDelegated{{JobID: "job-1", Unknown: true}}}, settings.Team{Name: "t", CPUsMax: 1.5})
	h.bringUp("vm-1")
	h.want("started tasks of the job", len(h.startCommands()), 0)
	h.submit(newTestJob("job-2", 1, 1))
	h.want("started tasks beyond the rest of the team limit", len(h.startCommands()), 0)
	h.submit(newTestJob("job-3", 1, 0.5))
	h.want("started tasks within the rest of the team limit", len(h.startCommands()), 1)
	h.step(CancelRequest{JobID: "job-1", ReplyTo: testRecipient("u")})
	reply, _ := lastEffect[UserReply](h)
	h.want("reply that the cell is unreachable", reply.CellUnreachable, true)
	h.want("job status", h.jobStatus("job-1"), wire.JobQueued)
}

// TestCapacityOffers checks how much capacity is offered to another cell.
func TestCapacityOffers(t *testing.T) {
	cases := []struct {
		name   string
		change func(operator *settings.Operator)
		teams  []settings.Team
		before func(h *harness)
		origin string
		cores  float64
		want   float64
		reason string
	}{
		{"free cores", nil, nil, nil, "puno", 100, 4, ""},
		{"no more than requested", nil, nil, nil, "puno", 1, 1, ""},
		{"cores that could be rented, up to the maximum offer", func(operator *settings.Operator) { operator.MaxMachines = 9 }, nil, nil, "puno", 100, 12, ""},
		{"unknown origin", nil, nil, nil, "cusco", 100, 0, "not a neighbour"},
		{"neighbour that is being drained", func(operator *settings.Operator) { operator.Cells.Neighbours[0].Draining = true }, nil, nil, "puno", 100, 0, "drained"},
		{"maximum offer of zero", func(operator *settings.Operator) { operator.Cells.Neighbours[0].MaxOfferedCores = 0 }, nil, nil, "puno", 100, 0, "own work"},
		{"waiting tasks of this cell", nil, nil, func(h *harness) { h.fillMachine("job-1"); h.submit(newTestJob("job-2", 1, 1)) }, "puno", 100, 0, "own work"},
		{"cores guaranteed to a team", nil, []settings.Team{{Name: "t"}, {Name: "sure", CPUs: 3}}, nil, "puno", 100, 1, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newCellHarness(t, c.change, c.teams...)
			if c.before != nil {
				c.before(h)
			}
			h.step(CapacityRequest{Origin: c.origin, Cores: c.cores, ReplyTo: testRecipient("r")})
			reply, _ := lastEffect[CapacityReply](h)
			if reply.Cores != c.want || !strings.Contains(reply.Reason, c.reason) || (reply.Cores == 0) != (reply.RetryAfter > 0) {
				t.Errorf("%+v, want %v cores and reason %q", reply, c.want, c.reason)
			}
		})
	}
}

// offerForeignJob offers a job of another cell, completes the write that follows, and returns the
// outcome.
func offerForeignJob(h *harness, jobID, description string) federation.Outcome {
	m := federation.Message{Kind: federation.Offer, JobID: jobID, Epoch: 1, Body: &federation.OfferBody{Job: []byte(description), Cores: 1}}
	h.step(TransferRequest{Origin: "puno", Messages: []federation.Message{m}, ReplyTo: testRecipient("r")})
	if write, ok := lastEffect[WriteForeign](h); ok && write.Write.Key.JobID == jobID {
		h.step(ForeignWriteResult{Write: write.Write, Job: write.Job, Version: 9})
	}
	h.step(TransferRequest{Origin: "puno", Messages: []federation.Message{{Kind: federation.Status, JobID: jobID, Epoch: 1}}, ReplyTo: testRecipient("r")})
	reply, _ := lastEffect[TransferReply](h)
	return reply.Answers[0].Outcome
}

// TestForeignJobs checks which offers are accepted. A foreign job is placed after this cell's own
// jobs of the same priority, is not visible to users here, and is not delegated further.
func TestForeignJobs(t *testing.T) {
	const described = `{"ref":"%s","lane":"c","owner":"t","shape":"batch","urgency":"high","pieces":1,"vcpus":%v,"gpus":0,"mem_gb":1,"bundle":"i","size_gb":1,
		"flavors":null,"room":%s,"together":false,"spread":false,"loaners":true,"guess_s":9,"snapshot_s":0,"flush_s":0,"due_s":60,"waits_on":%s}`
	h := newCellHarness(t, nil)
	h.submit(newTestJob("job-1", 1, 1))
	outcome := offerForeignJob(h, "job-80", fmt.Sprintf(described, "job-80", 1, "null", "[]"))
	h.want("offer without credit", outcome, federation.OutcomeRefused)
	h.step(CapacityRequest{Origin: "puno", Cores: 3, ReplyTo: testRecipient("r")})
	cases := []struct {
		name, jobID, description string
		want                     federation.Outcome
	}{
		{"job ID that exists here", "job-1", fmt.Sprintf(described, "job-1", 1, "null", "[]"), federation.OutcomeRefused},
		{"description of another job", "job-81", fmt.Sprintf(described, "job-82", 1, "null", "[]"), federation.OutcomeRefused},
		{"invalid description", "job-83", `{"ref":"job-83"}`, federation.OutcomeRefused},
		{"bound to a zone", "job-84", fmt.Sprintf(described, "job-84", 1, `"a"`, "[]"), federation.OutcomeRefused},
		{"has a dependency at its origin", "job-85", fmt.Sprintf(described, "job-85", 1, "null", `["job-1"]`), federation.OutcomeRefused},
		{"fits no machine type", "job-86", fmt.Sprintf(described, "job-86", 64, "null", "[]"), federation.OutcomeRefused},
		{"within the credit", "job-87", fmt.Sprintf(described, "job-87", 2, "null", "[]"), federation.OutcomeAccepted},
		{"beyond the credit", "job-88", fmt.Sprintf(described, "job-88", 2, "null", "[]"), federation.OutcomeRefused},
	}
	for _, c := range cases {
		h.want(c.name, offerForeignJob(h, c.jobID, c.description).String(), c.want.String())
	}
	h.step(StatusRequest{JobID: "job-87", ReplyTo: testRecipient("u")})
	reply, _ := lastEffect[UserReply](h)
	h.want("visible to users here", reply.Known, false)
	foreign := h.core.jobs.list[h.core.jobs.indexByID["job-87"]]
	h.want("may be delegated further", h.core.delegations.mayDelegate(foreign), false)
	ownJob := newTestJob("job-2", 4, 1)
	ownJob.Priority = "high"
	foreign.progress.allocated, foreign.progress.waiting = 0, []int32{0} // so that it waits in the queue
	h.submit(ownJob)
	var order []string
	for _, j := range h.core.placement.sortedQueue() {
		order = append(order, j.id)
	}
	h.want("queue order within one priority", strings.Join(order, " "), "job-2 job-87")
}

// TestTransfersBeforeMachineTypesAreKnown guards against a leader that takes "no machine type is known
// yet" for "there is none": it delegated its jobs at once, and refused those of other cells for good.
func TestTransfersBeforeMachineTypesAreKnown(t *testing.T) {
	h := newHarnessWithoutTypes(t, 0, testConfig(cellSettings(func(operator *settings.Operator) { operator.MaxMachines = 10 }), settings.Team{Name: "t"}), ledger.Snapshot{})
	h.bringUp("vm-1")
	h.step(TransfersEnabled{})
	h.submit(newTestJob("job-1", 1, 1))
	h.want("messages to the neighbour", len(h.offersAfterShortage(100, nil)), 0)

	description, err := json.Marshal(newTestJob("job-80", 1, 1))
	if err != nil {
		t.Fatal(err)
	}
	h.want("offer before", offerForeignJob(h, "job-80", string(description)), federation.OutcomeRefused)
	reply, _ := lastEffect[TransferReply](h)
	h.want("the refusal is temporary", reply.Answers[0].Temporary, true)
	h.learnTypes(testMachineType("m4", 4))
	h.acknowledge("vm-1")
	h.want("job-1 starts", len(h.startCommands()), 1)
}
