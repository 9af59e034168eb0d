package scheduler

import (
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

// errUnreachable is the result of an exchange that a neighbour did not answer.
var errUnreachable = errors.New("the neighbour does not answer")

// newCellHarness is a stage of cell "lima" with neighbour "puno", whose only machine of four
// cores is up and the last that there may be.
func newCellHarness(t *testing.T, change func(o *settings.Operator), teams ...settings.Team) *harness {
	o := settings.Defaults()
	o.MaxMachines = 1
	o.Cells = settings.Cells{Name: "lima", DelegateJobs: true, ShortageFor: 5 * time.Second, MaxWait: 10 * time.Second, Repeatable: map[string]bool{},
		Neighbours: []settings.Neighbour{{Name: "puno", MaxJobs: 5, MaxCores: 40, MaxOfferedCores: 12, ReclaimAfter: time.Minute}}}
	if change != nil {
		change(&o)
	}
	g := newHarnessWithSettings(t, o, ledger.Snapshot{}, teams...)
	g.bringUp("vm-1")
	g.step(TransfersEnabled{})
	return g
}

// waitReporting lets time pass while the machine reports what it runs.
func (h *harness) waitReporting(d time.Duration, machine string, tasks ...wire.TaskStatus) {
	for end := h.now + d; h.now < end; {
		h.advance(time.Second)
		h.acknowledge(machine, tasks...)
	}
}

// applyToMachine has a job take the whole machine for long and returns how it is reported.
func (h *harness) fillMachine(jobID string) []wire.TaskStatus {
	j := newTestJob(jobID, 4, 1)
	j.EstimatedRunS = 1000
	h.submit(j)
	var running []wire.TaskStatus
	for _, o := range h.startCommands() {
		running = append(running, newTaskStatus(o, wire.TaskRunning, ""))
	}
	h.completeCommands(CommandExecuted)
	return running
}

// lastEffect returns the latest effect of a type.
func lastEffect[E Effect](g *harness) (e E, ok bool) {
	for i := len(g.otherEffects) - 1; i >= 0; i-- {
		if e, ok = g.otherEffects[i].(E); ok {
			return e, true
		}
	}
	return e, false
}

// offersAfterShortage plays a shortage up to the neighbour's capacity offer and names the jobs that are
// offered to it.
func (h *harness) offersAfterShortage(room float64, running []wire.TaskStatus) (jobIDs []string) {
	h.waitReporting(20*time.Second, "vm-1", running...)
	if ask, ok := lastEffect[RequestCapacity](h); ok {
		h.step(CapacityResult{Cell: ask.Cell, Cores: min(room, ask.Cores), For: 5 * time.Second})
	}
	if send, ok := lastEffect[SendTransfers](h); ok {
		for _, m := range send.Messages {
			jobIDs = append(jobIDs, fmt.Sprintf("%s %s/%d", m.Kind, m.JobID, m.Epoch))
		}
	}
	return jobIDs
}

// TestDelegation: which jobs leave a cell that is short of room.
func TestDelegation(t *testing.T) {
	zone := "a"
	cases := []struct {
		name   string
		change func(o *settings.Operator)
		job    func(j *wire.Job)
		room   float64
		want   string
	}{
		{"one that waits too long", nil, nil, 100, "offer job-2/1"},
		{"more than the room that was offered", nil, nil, 1, ""},
		{"nobody has room", nil, nil, 0, ""},
		{"bound to a zone", nil, func(j *wire.Job) { j.Zone = &zone }, 100, ""},
		{"waits for another one", nil, func(j *wire.Job) { j.DependsOn = []string{"job-1"} }, 100, ""},
		{"more than may be away", func(o *settings.Operator) { o.Cells.Neighbours[0].MaxCores = 1 }, nil, 100, ""},
		{"no jobs may be away", func(o *settings.Operator) { o.Cells.Neighbours[0].MaxJobs = 0 }, nil, 100, ""},
		{"the relation is being drained", func(o *settings.Operator) { o.Cells.Neighbours[0].Draining = true }, nil, 100, ""},
		{"spilling is off", func(o *settings.Operator) { o.Cells.DelegateJobs = false }, nil, 100, ""},
		{"machines can be hired", func(o *settings.Operator) { o.MaxMachines = 0 }, nil, 100, ""},
		{"it may wait for longer", func(o *settings.Operator) { o.Cells.MaxWait = time.Hour }, nil, 100, ""},
		{"its deadline is far", nil, func(j *wire.Job) { j.DeadlineS = secondsPtr(7200) }, 100, ""},
		{"its deadline is near", func(o *settings.Operator) { o.Cells.MaxWait = time.Hour }, func(j *wire.Job) { j.DeadlineS = secondsPtr(60) }, 100, "offer job-2/1"},
		{"its team's limit leaves too little", nil, func(j *wire.Job) { j.Team = "tight" }, 100, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newCellHarness(t, c.change, settings.Team{Name: "t"}, settings.Team{Name: "tight", CPUsMax: 1})
			running := g.fillMachine("job-1")
			j := newTestJob("job-2", 2, 1)
			if c.job != nil {
				c.job(j)
			}
			g.submit(j)
			g.want("offered", strings.Join(g.offersAfterShortage(c.room, running), ", "), c.want)
		})
	}
}

func secondsPtr(s float64) *float64 { return &s }

// TestDelegatedJob follows a job through the neighbour to its end: it is charged to its team,
// never placed here, and has ended when its end is durable here.
func TestDelegatedJob(t *testing.T) {
	g := newCellHarness(t, nil, settings.Team{Name: "t"}, settings.Team{Name: "tight", CPUsMax: 3})
	tight := func(jobID string) *wire.Job {
		j := newTestJob(jobID, 2, 1)
		j.Team = "tight"
		return j
	}
	running := g.fillMachine("job-1")
	g.submit(tight("job-2"))
	g.want("offered", len(g.offersAfterShortage(100, running)), 1)
	g.want("its record", g.writesByKey[ledger.DelegatedKey("job-2")].Value.(federation.DelegatedRecord).State, federation.Offered)
	answer := func(o federation.Outcome, running int) {
		g.step(TransferResult{Cell: "puno", Answers: []federation.Answer{{JobID: "job-2", Epoch: 1, Outcome: o, Running: running}}})
	}
	answer(federation.OutcomeAccepted, 2)
	g.want("told while it runs there", g.jobStatus("job-2"), wire.JobRunning)
	g.bringUp("vm-2")
	g.submit(tight("job-3"))
	g.want("started within the limit of both cells", len(g.startCommands()), 1)
	answer(federation.OutcomeDone, 0)
	g.want("told in the end", g.jobStatus("job-2"), wire.JobDone)
	g.advance(time.Second)
	if send, ok := lastEffect[SendTransfers](g); !ok || send.Messages[0].Kind != federation.Release {
		t.Errorf("after the end: %+v", send)
	}
	answer(federation.OutcomeReleased, 0)
	if w := g.writesByKey[ledger.DelegatedKey("job-2")]; w.Value != nil {
		t.Errorf("the record stays: %+v", w.Value)
	}
}

// TestCancelOfADelegatedJob: the cancellation of a delegated job is confirmed when the neighbour
// has it, and refused at once while that does not respond.
func TestCancelOfADelegatedJob(t *testing.T) {
	for _, silent := range []bool{false, true} {
		g := newCellHarness(t, nil)
		running := g.fillMachine("job-1")
		g.submit(newTestJob("job-2", 1, 1))
		g.offersAfterShortage(100, running)
		g.step(TransferResult{Cell: "puno", Answers: []federation.Answer{{JobID: "job-2", Epoch: 1, Outcome: federation.OutcomeAccepted}}})
		if silent {
			g.step(TransferResult{Cell: "puno", Err: errUnreachable})
		}
		g.otherEffects = nil
		g.step(CancelRequest{JobID: "job-2", ReplyTo: testRecipient("u")})
		told, ok := lastEffect[UserReply](g)
		g.want("told at once", ok, silent)
		g.want("as unreachable", told.CellUnreachable, silent)
		g.step(TransferResult{Cell: "puno", Answers: []federation.Answer{{JobID: "job-2", Epoch: 1, Outcome: federation.OutcomeCancelled}}})
		g.want("in the end", g.jobStatus("job-2"), wire.JobCancelled)
	}
}

// TestUnknownTransfer: a job whose transfer's record can't be read may run elsewhere. It
// was not started here, but its cancellation was confirmed.
func TestUnknownTransfer(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{Jobs: []ledger.SavedJob{{ID: "job-1", Version: 1, Record: ledger.JobRecord{Job: newTestJob("job-1", 1, 1)}}},
		Delegated: []ledger.SavedDelegated{{JobID: "job-1", Unknown: true}}}, settings.Team{Name: "t", CPUsMax: 1.5})
	g.bringUp("vm-1")
	g.want("started", len(g.startCommands()), 0)
	g.submit(newTestJob("job-2", 1, 1))
	g.want("started of the rest of the team's limit", len(g.startCommands()), 0)
	g.submit(newTestJob("job-3", 1, 0.5))
	g.want("started beside it", len(g.startCommands()), 1)
	g.step(CancelRequest{JobID: "job-1", ReplyTo: testRecipient("u")})
	told, _ := lastEffect[UserReply](g)
	g.want("told as unreachable", told.CellUnreachable, true)
	g.want("its state", g.jobStatus("job-1"), wire.JobQueued)
}

// TestCapacityOffers: the capacity that another cell is offered.
func TestCapacityOffers(t *testing.T) {
	cases := []struct {
		name   string
		change func(o *settings.Operator)
		teams  []settings.Team
		before func(g *harness)
		home   string
		ask    float64
		want   float64
		why    string
	}{
		{"what is free", nil, nil, nil, "puno", 100, 4, ""},
		{"no more than asked for", nil, nil, nil, "puno", 1, 1, ""},
		{"what could be hired as well, up to what may be lent", func(o *settings.Operator) { o.MaxMachines = 9 }, nil, nil, "puno", 100, 12, ""},
		{"a stranger", nil, nil, nil, "cusco", 100, 0, "not a neighbour"},
		{"a relation that is being drained", func(o *settings.Operator) { o.Cells.Neighbours[0].Draining = true }, nil, nil, "puno", 100, 0, "drained"},
		{"nothing is lent", func(o *settings.Operator) { o.Cells.Neighbours[0].MaxOfferedCores = 0 }, nil, nil, "puno", 100, 0, "own work"},
		{"this cell's own work waits", nil, nil, func(g *harness) { g.fillMachine("job-1"); g.submit(newTestJob("job-2", 1, 1)) }, "puno", 100, 0, "own work"},
		{"what is guaranteed to a team", nil, []settings.Team{{Name: "t"}, {Name: "sure", CPUs: 3}}, nil, "puno", 100, 1, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newCellHarness(t, c.change, c.teams...)
			if c.before != nil {
				c.before(g)
			}
			g.step(CapacityRequest{Origin: c.home, Cores: c.ask, ReplyTo: testRecipient("r")})
			answer, _ := lastEffect[CapacityReply](g)
			if answer.Cores != c.want || !strings.Contains(answer.Reason, c.why) || (answer.Cores == 0) != (answer.RetryAfter > 0) {
				t.Errorf("%+v, want %v cores, %q", answer, c.want, c.why)
			}
		})
	}
}

// offerForeignJob is another cell's offer.
func offerForeignJob(g *harness, jobID, job string) federation.Outcome {
	m := federation.Message{Kind: federation.Offer, JobID: jobID, Epoch: 1, Body: &federation.OfferBody{Job: []byte(job), Cores: 1}}
	g.step(TransferRequest{Origin: "puno", Messages: []federation.Message{m}, ReplyTo: testRecipient("r")})
	if put, ok := lastEffect[WriteForeign](g); ok && put.Write.Key.JobID == jobID {
		g.step(ForeignWriteResult{Write: put.Write, Job: put.Job, Version: 9})
	}
	g.step(TransferRequest{Origin: "puno", Messages: []federation.Message{{Kind: federation.Status, JobID: jobID, Epoch: 1}}, ReplyTo: testRecipient("r")})
	answer, _ := lastEffect[TransferReply](g)
	return answer.Answers[0].Outcome
}

// TestForeignJobs: which offers are accepted. A foreign job runs after this cell's own jobs, is
// unknown to users here, and is not delegated further.
func TestForeignJobs(t *testing.T) {
	const described = `{"ref":"%s","lane":"c","owner":"t","shape":"batch","urgency":"high","pieces":1,"vcpus":%v,"gpus":0,"mem_gb":1,"bundle":"i","size_gb":1,
		"flavors":null,"room":%s,"together":false,"spread":false,"loaners":true,"guess_s":9,"snapshot_s":0,"flush_s":0,"due_s":60,"waits_on":%s}`
	g := newCellHarness(t, nil)
	g.submit(newTestJob("job-1", 1, 1))
	none := offerForeignJob(g, "job-80", fmt.Sprintf(described, "job-80", 1, "null", "[]"))
	g.want("without a promise of room", none, federation.OutcomeRefused)
	g.step(CapacityRequest{Origin: "puno", Cores: 3, ReplyTo: testRecipient("r")})
	cases := []struct {
		name, ref, job string
		want           federation.Outcome
	}{
		{"a name that is known here", "job-1", fmt.Sprintf(described, "job-1", 1, "null", "[]"), federation.OutcomeRefused},
		{"another job's description", "job-81", fmt.Sprintf(described, "job-82", 1, "null", "[]"), federation.OutcomeRefused},
		{"what is no job", "job-83", `{"ref":"job-83"}`, federation.OutcomeRefused},
		{"bound to a zone", "job-84", fmt.Sprintf(described, "job-84", 1, `"a"`, "[]"), federation.OutcomeRefused},
		{"waits for a job of its home", "job-85", fmt.Sprintf(described, "job-85", 1, "null", `["job-1"]`), federation.OutcomeRefused},
		{"fits no machine", "job-86", fmt.Sprintf(described, "job-86", 64, "null", "[]"), federation.OutcomeRefused},
		{"within the promise", "job-87", fmt.Sprintf(described, "job-87", 2, "null", "[]"), federation.OutcomeAccepted},
		{"beyond it", "job-88", fmt.Sprintf(described, "job-88", 2, "null", "[]"), federation.OutcomeRefused},
	}
	for _, c := range cases {
		g.want(c.name, offerForeignJob(g, c.ref, c.job).String(), c.want.String())
	}
	g.step(StatusRequest{JobID: "job-87", ReplyTo: testRecipient("u")})
	told, _ := lastEffect[UserReply](g)
	g.want("its state is told to users here", told.Known, false)
	guest := g.core.jobs.list[g.core.jobs.indexByID["job-87"]]
	g.want("it may leave", g.core.delegations.mayDelegate(guest), false)
	own := newTestJob("job-2", 4, 1)
	own.Priority = "high"
	guest.progress.allocated, guest.progress.waiting = 0, []int32{0} // as if it waited
	g.submit(own)
	var order []string
	for _, j := range g.core.placement.sortedQueue() {
		order = append(order, j.id)
	}
	g.want("the order of jobs of one priority", strings.Join(order, " "), "job-2 job-87")
}
