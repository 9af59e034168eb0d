package scheduler

import (
	"fmt"
	"testing"
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// TestHostIsDurableBeforeTheFirstStart guards against a start that a new leader can't know of: a
// machine gets a job's first start only when the ledger names it as a host of the job.
func TestHostIsDurableBeforeTheFirstStart(t *testing.T) {
	h := newHarness(t, ledger.Snapshot{})
	h.bringUp("vm-1")
	h.holdWrites = true
	h.submit(newTestJob("job-1", 2, 1))
	h.want("starts before the host is durable", len(h.startCommands()), 0)
	h.releaseWrites()
	h.want("starts after the host is durable", len(h.startCommands()), 2)
}

// TestWritesOfAStepAreBatched checks that a step that adds many machines or many ended tasks to a job
// writes each of the job's keys once, with all of them. Written one by one, each write would repeat
// all that came before it. Starts still follow only when their machines are durable in the ledger.
func TestWritesOfAStepAreBatched(t *testing.T) {
	h := newHarness(t, ledger.Snapshot{})
	const machines = ledger.HostsPerChunk + 50
	for i := range machines {
		h.bringUp(fmt.Sprintf("vm-%03d", i))
	}
	h.holdWrites = true
	clear(h.writesByKey)
	writesBefore := h.writeCount
	h.submit(newTestJob("job-1", 4*machines, 1))
	h.want("writes for all machines", h.writeCount-writesBefore, 2)
	h.want("hosts in the first key", len(h.writesByKey["host/job-1/0"].Value.([]string)), ledger.HostsPerChunk)
	h.want("hosts in the second key", len(h.writesByKey["host/job-1/1"].Value.([]string)), 50)
	h.want("starts before the hosts are durable", len(h.startCommands()), 0)
	h.releaseWrites()
	tasks := map[string][]wire.TaskStatus{}
	for _, sent := range h.sentCommands {
		for _, command := range sent.Request.Commands {
			tasks[sent.Machine] = append(tasks[sent.Machine], newTaskStatus(command, wire.TaskEnded, wire.ExitDone))
		}
	}
	h.want("starts after the hosts are durable", len(h.startCommands()), 4*machines)
	h.completeCommands(CommandExecuted)

	h.holdWrites = true
	writesBefore = h.writeCount
	for _, name := range []string{"vm-001", "vm-002", "vm-003"} {
		h.core.Step(HeartbeatEvent{Heartbeat: h.newHeartbeat(name, termToken, tasks[name]...), ReplyTo: testRecipient("w")}, h.now, h.now.Milliseconds())
	}
	h.recordEffects(h.core.Flush())
	h.want("writes for the ended tasks of three machines", h.writeCount-writesBefore, 1)
	for _, command := range h.responseCommands {
		h.want("command before the ended tasks are durable", command.Verb, "nothing")
	}
	h.releaseWrites()
	durable := 0
	for _, task := range h.core.jobs.list[0].progress.tasks {
		if task.state == taskDurable {
			durable++
		}
	}
	h.want("durable tasks", durable, 12)
}

// TestWritesAreSplitBelowTheValueLimit checks that finished tasks and hosts are split into several
// values after the key-value store has lowered its limit, including a write that it rejected, that a
// new leader reads all of them, and that they are deleted with the job.
func TestWritesAreSplitBelowTheValueLimit(t *testing.T) {
	const limit, tasks, machines = 1024, 600, 150
	h := newHarness(t, ledger.Snapshot{})
	for i := range machines {
		h.bringUp(fmt.Sprintf("vm-%06d", i))
	}
	h.submit(newTestJob("job-1", tasks, 1))
	h.completeCommands(CommandExecuted)
	hosts := h.writesByKey["host/job-1/0"]
	h.want("hosts in one key before the limit is lowered", len(hosts.Value.([]string)), machines)
	h.step(ValueLimitChanged{MaxValueBytes: limit})
	// The write was rejected, so all its hosts are written again in smaller values.
	j := h.core.jobs.list[0]
	for i := range j.record.hosts {
		j.record.hosts[i].durable = false
	}
	clear(h.writesByKey)
	h.step(WritesRejected{Tags: []ledger.Tag{hosts.Tag}})
	for i := 0; i < machines; i++ {
		name := fmt.Sprintf("vm-%06d", i)
		var statuses []wire.TaskStatus
		for _, alloc := range h.core.findOrAddMachine(name).capacity.allocations {
			status, exitReason := wire.TaskRunning, ""
			if alloc.task%2 == 0 {
				status, exitReason = wire.TaskEnded, wire.ExitDone
			}
			statuses = append(statuses, newTaskStatus(wire.Command{Task: h.core.jobs.taskName(alloc), Attempt: alloc.attempt}, status, exitReason))
		}
		h.acknowledge(name, statuses...)
	}
	saved := ledger.SavedJob{ID: "job-1", Record: ledger.JobRecord{Job: j.spec}}
	found := map[string]bool{}
	for key, w := range h.writesByKey {
		switch v := w.Value.(type) {
		case []string:
			var chunk int
			if _, err := fmt.Sscanf(key, "host/job-1/%d", &chunk); err != nil {
				t.Fatal(err)
			}
			size := 2
			for _, name := range v {
				size += len(name) + 3
				found[name] = true
			}
			if size > limit {
				t.Errorf("%s takes %d bytes, more than the limit", key, size)
			}
			saved.Hosts = append(saved.Hosts, ledger.SavedHosts{Key: key, Chunk: chunk, Machines: v})
		case ledger.Ranges:
			if v.Size() > limit {
				t.Errorf("%s takes %d bytes, more than the limit", key, v.Size())
			}
			saved.Finished = append(saved.Finished, ledger.SavedRanges{Key: key, Ranges: v})
		}
	}
	h.want("hosts in all values", len(found), machines)
	successor := newHarness(t, ledger.Snapshot{Jobs: []ledger.SavedJob{saved}})
	h.want("finished tasks of a new leader", successor.core.jobs.list[0].progress.done, tasks/2)
	h.want("hosts of a new leader", len(successor.core.jobs.list[0].record.hosts), machines)
	// All keys are deleted with the job.
	successor.step(CancelRequest{JobID: "job-1", ReplyTo: testRecipient("u")})
	successor.advance(40 * time.Second)
	for _, hosts := range saved.Hosts {
		if w, ok := successor.writesByKey[hosts.Key]; !ok || w.Value != nil {
			t.Errorf("%s is not deleted", hosts.Key)
		}
	}
	for _, finished := range saved.Finished {
		if w, ok := successor.writesByKey[finished.Key]; !ok || w.Value != nil {
			t.Errorf("%s is not deleted", finished.Key)
		}
	}
}
