package scheduler

import (
	"fmt"
	"testing"
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

func TestHostIsDurableBeforeTheFirstStart(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	g.bringUp("vm-1")
	g.holdWrites = true
	g.submit(newTestJob("job-1", 2, 1))
	g.want("starts while the host is not durable", len(g.startCommands()), 0)
	g.releaseWrites()
	g.want("starts once it is", len(g.startCommands()), 2)
}

// TestWritesOfAStepAreBatched: a step that adds many machines and many ended tasks to a job
// writes each of its keys once, with all of them, and every machine still gets its starts only
// when it is in the ledger.
func TestWritesOfAStepAreBatched(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	const machines = ledger.HostsPerChunk + 50
	for i := range machines {
		g.bringUp(fmt.Sprintf("vm-%03d", i))
	}
	g.holdWrites = true
	clear(g.writesByKey)
	puts := g.writeCount
	g.submit(newTestJob("job-1", 4*machines, 1))
	g.want("writes for all machines", g.writeCount-puts, 2)
	g.want("hosts in the first", len(g.writesByKey["host/job-1/0"].Value.([]string)), ledger.HostsPerChunk)
	g.want("hosts in the second", len(g.writesByKey["host/job-1/1"].Value.([]string)), 50)
	g.want("started before that is durable", len(g.startCommands()), 0)
	g.releaseWrites()
	tasks := map[string][]wire.TaskStatus{}
	for _, d := range g.sentCommands {
		for _, o := range d.Request.Commands {
			tasks[d.Machine] = append(tasks[d.Machine], newTaskStatus(o, wire.TaskEnded, wire.ExitDone))
		}
	}
	g.want("started then", len(g.startCommands()), 4*machines)
	g.completeCommands(CommandExecuted)

	g.holdWrites = true
	puts = g.writeCount
	for _, name := range []string{"vm-001", "vm-002", "vm-003"} {
		g.core.Step(HeartbeatEvent{Heartbeat: g.newHeartbeat(name, termToken, tasks[name]...), ReplyTo: testRecipient("w")}, g.now, g.now.Milliseconds())
	}
	g.recordEffects(g.core.Flush())
	g.want("writes for the ended tasks of three machines", g.writeCount-puts, 1)
	for _, o := range g.responseCommands {
		g.want("ordered before that is durable", o.Verb, "nothing")
	}
	g.releaseWrites()
	n := 0
	for _, k := range g.core.jobs.list[0].progress.tasks {
		if k.state == taskDurable {
			n++
		}
	}
	g.want("durable", n, 12)
}

// TestWritesAreSplitBelowTheValueLimit: when the key-value store takes small values only, finished tasks, hosts and
// unreachable-agent records are written in pieces, also what is rejected, and a new leader reads
// them all.
func TestWritesAreSplitBelowTheValueLimit(t *testing.T) {
	const limit, tasks, machines = 1024, 600, 150
	g := newHarness(t, ledger.Snapshot{})
	for i := range machines {
		g.bringUp(fmt.Sprintf("vm-%06d", i))
	}
	g.submit(newTestJob("job-1", tasks, 1))
	g.completeCommands(CommandExecuted)
	hosts := g.writesByKey["host/job-1/0"]
	g.want("hosts in one key at first", len(hosts.Value.([]string)), machines)
	g.step(ValueLimitChanged{MaxValueBytes: limit})
	// The write was not carried out: all of it is written in pieces.
	j := g.core.jobs.list[0]
	for i := range j.record.hosts {
		j.record.hosts[i].durable = false
	}
	clear(g.writesByKey)
	g.step(WritesRejected{Tags: []ledger.Tag{hosts.Tag}})
	for i := 0; i < machines; i++ {
		name := fmt.Sprintf("vm-%06d", i)
		var reports []wire.TaskStatus
		for _, b := range g.core.findOrAddMachine(name).capacity.allocations {
			status, why := wire.TaskRunning, ""
			if b.task%2 == 0 {
				status, why = wire.TaskEnded, wire.ExitDone
			}
			reports = append(reports, newTaskStatus(wire.Command{Task: g.core.jobs.taskName(b), Attempt: b.attempt}, status, why))
		}
		g.acknowledge(name, reports...)
	}
	saved := ledger.SavedJob{ID: "job-1", Record: ledger.JobRecord{Job: j.spec}}
	found := map[string]bool{}
	for key, w := range g.writesByKey {
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
				t.Errorf("%s takes %d bytes", key, size)
			}
			saved.Hosts = append(saved.Hosts, ledger.SavedHosts{Key: key, Chunk: chunk, Machines: v})
		case ledger.Ranges:
			if v.Size() > limit {
				t.Errorf("%s takes %d bytes", key, v.Size())
			}
			saved.Finished = append(saved.Finished, ledger.SavedRanges{Key: key, Ranges: v})
		}
	}
	g.want("hosts in all pieces", len(found), machines)
	n := newHarness(t, ledger.Snapshot{Jobs: []ledger.SavedJob{saved}})
	g.want("done for a new leader", n.core.jobs.list[0].progress.done, tasks/2)
	g.want("its hosts", len(n.core.jobs.list[0].record.hosts), machines)
	// All of it is deleted with the job.
	n.step(CancelRequest{JobID: "job-1", ReplyTo: testRecipient("u")})
	n.advance(40 * time.Second)
	for _, h := range saved.Hosts {
		if w, ok := n.writesByKey[h.Key]; !ok || w.Value != nil {
			t.Errorf("%s is not deleted", h.Key)
		}
	}
	for _, f := range saved.Finished {
		if w, ok := n.writesByKey[f.Key]; !ok || w.Value != nil {
			t.Errorf("%s is not deleted", f.Key)
		}
	}
}
