package scheduler

import (
	"maps"
	"slices"

	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// initHosts makes room for the hosts of a job that has not ended.
func (r *jobRecord) initHosts() { r.hostIndexByMachine = map[int32]int{} }

// addFinishedKey notes a key of finished tasks.
func (r *jobRecord) addFinishedKey(key string) {
	if r.finishedKeys == nil {
		r.finishedKeys = map[string]bool{}
	}
	r.finishedKeys[key] = true
}

// deleteKeys deletes what the ledger holds of a finished job besides its record.
func (t *jobTable) deleteKeys(j *job) {
	var writes []ledger.Write
	for chunk := range j.record.hostChunks {
		writes = append(writes, ledger.Write{Key: ledger.HostsKey(j.id, chunk)})
	}
	for _, key := range slices.Sorted(maps.Keys(j.record.finishedKeys)) {
		writes = append(writes, ledger.Write{Key: key})
	}
	if len(writes) > 0 {
		t.effects.emit(WriteLedger{Writes: writes})
	}
}

// addHost notes that a job's tasks may be on a machine. That is written at the end of the step,
// and durable before the first start there.
func (t *jobTable) addHost(j *job, m *machine) {
	j.record.hostIndexByMachine[m.index] = len(j.record.hosts)
	j.record.hosts = append(j.record.hosts, jobHost{machine: m.index})
	m.recorded.namedByJobs++
	t.queueWrite(j)
}

// markHostsDurable notes that the hosts of a write are durable, and returns those that were not before.
func (t *jobTable) markHostsDurable(j *job, written hostTag) (machines []int32) {
	if j.record.hosts == nil {
		return nil
	}
	for i := written.from; i < written.to; i++ {
		if h := &j.record.hosts[i]; !h.durable {
			h.durable = true
			machines = append(machines, h.machine)
		}
	}
	return machines
}

// requeueRejectedHosts has a job's hosts written again, since they were too many for a value. What is
// durable keeps its key; what comes after it begins a new one.
func (t *jobTable) requeueRejectedHosts(j *job) {
	first := slices.IndexFunc(j.record.hosts, func(h jobHost) bool { return !h.durable })
	if first < 0 {
		return
	}
	j.record.hostChunks = slices.DeleteFunc(j.record.hostChunks, func(from int) bool { return from >= first })
	j.record.hostChunks = append(j.record.hostChunks, first)
	j.record.hostsWritten = first
	t.queueWrite(j)
}

// queueFinishedTasks has the end of tasks written at the end of the step.
func (t *jobTable) queueFinishedTasks(j *job, tasks ...int32) {
	if j.progress.tasks != nil {
		j.record.unwrittenTasks = append(j.record.unwrittenTasks, tasks...)
		t.queueWrite(j)
	}
}

// deleteRestoredKeys deletes what an earlier leader has left of a job that is done.
func (t *jobTable) deleteRestoredKeys(s *ledger.SavedJob) {
	for _, h := range s.Hosts {
		t.writes.put(ledger.Write{Key: h.Key})
	}
	for _, f := range s.Finished {
		t.writes.put(ledger.Write{Key: f.Key})
	}
}

// restoreFinished takes the finished tasks of a job from the ledger.
func (t *jobTable) restoreFinished(j *job, s *ledger.SavedJob) {
	finished := 0
	for _, f := range s.Finished {
		j.record.addFinishedKey(f.Key)
		f.Ranges.Each(func(i int) {
			if j.progress.restoreFinished(f.Chunk*ledger.TasksPerChunk + i) {
				finished++
			}
		})
	}
	// A cancelled job's record has the count as well, and the ranges may be there still: counted
	// twice they were more than its tasks, and no controller could begin a term.
	j.progress.restore(finished, len(s.Hosts) > 0)
}

// restoreHosts takes the hosts of one key from the ledger.
func (t *jobTable) restoreHosts(j *job, chunk int, machines []*machine) {
	// A key that is missing, as its deletion was under way, keeps its number.
	for len(j.record.hostChunks) <= chunk {
		j.record.hostChunks = append(j.record.hostChunks, len(j.record.hosts))
	}
	for _, m := range machines {
		if _, known := j.record.hostIndexByMachine[m.index]; known {
			continue
		}
		j.record.hostIndexByMachine[m.index] = len(j.record.hosts)
		j.record.hosts = append(j.record.hosts, jobHost{machine: m.index, durable: true})
		j.record.hostsWritten = len(j.record.hosts)
		m.recorded.namedByJobs++
		if m.state != machineGone {
			j.record.addInDoubt(m.index)
			m.recorded.addInDoubt(j.index)
		}
	}
}

// addInDoubt notes that the job may have unseen tasks on a machine.
func (r *jobRecord) addInDoubt(machine int32) {
	if r.inDoubtHosts == nil {
		r.inDoubtHosts = map[int32]bool{}
	}
	r.inDoubtHosts[machine] = true
}

// resolveInDoubt notes that the job's tasks on a machine are known, and tells whether it was the
// last one in doubt.
func (r *jobRecord) resolveInDoubt(machine int32) (last bool) {
	delete(r.inDoubtHosts, machine)
	return len(r.inDoubtHosts) == 0
}

// queueWrite has what is new about a job written at the end of the step: a burst adds dozens of
// machines and ended tasks to one job in a step, and each by itself would be written with all
// that came before it.
func (t *jobTable) queueWrite(j *job) {
	if !j.record.queuedForWrite {
		j.record.queuedForWrite = true
		t.unwritten = append(t.unwritten, j)
	}
}

// writeJobs writes what is new about jobs.
func (t *jobTable) writeJobs() {
	for _, j := range t.unwritten {
		j.record.queuedForWrite = false
		if j.progress.tasks != nil {
			t.writeHosts(j)
			t.writeFinished(j)
		}
	}
	clear(t.unwritten)
	t.unwritten = t.unwritten[:0]
}

// writeHosts writes the chunks in which a job has new hosts.
func (t *jobTable) writeHosts(j *job) {
	for from := j.record.hostsWritten; from < len(j.record.hosts); {
		first, names := 0, []string(nil)
		if n := len(j.record.hostChunks); n > 0 {
			first = j.record.hostChunks[n-1]
			names = t.hostNamesForChunk(j, first)
		}
		if first+len(names) <= from {
			// There is none, or the last one is full.
			j.record.hostChunks = append(j.record.hostChunks, from)
			first, names = from, t.hostNamesForChunk(j, from)
		}
		to := first + len(names)
		t.writes.put(ledger.Write{Key: ledger.HostsKey(j.id, len(j.record.hostChunks)-1), Value: names, Urgent: true, Tag: hostTag{j.index, from, to}})
		from = to
	}
	j.record.hostsWritten = len(j.record.hosts)
}

// hostNamesForChunk names the hosts of a job, from one of them on, that go into one key.
func (t *jobTable) hostNamesForChunk(j *job, first int) []string {
	hosts := j.record.hosts[first:min(first+ledger.HostsPerChunk, len(j.record.hosts))]
	names := make([]string, len(hosts))
	for i, h := range hosts {
		names[i] = t.machines.list[h.machine].name
	}
	return names[:ledger.CountFittingNames(names, t.cfg.MaxValueBytes)]
}

// writeFinished writes the chunks in which a job has tasks that have ended since they were last
// written. The record of a job that has ended replaces them.
func (t *jobTable) writeFinished(j *job) {
	ended := j.record.unwrittenTasks
	j.record.unwrittenTasks = nil
	if j.ended() {
		return
	}
	slices.Sort(ended)
	for len(ended) > 0 {
		chunk := int(ended[0]) / ledger.TasksPerChunk
		n, _ := slices.BinarySearch(ended, int32((chunk+1)*ledger.TasksPerChunk))
		t.writeFinishedChunk(j, chunk, ended[:n])
		ended = ended[n:]
	}
}

// writeFinishedChunk writes the finished tasks of one chunk, some of which are new.
func (t *jobTable) writeFinishedChunk(j *job, chunk int, ended []int32) {
	first := chunk * ledger.TasksPerChunk
	size := min(ledger.TasksPerChunk, j.progress.total-first)
	done := func(i int) bool { return j.progress.tasks[first+i].state >= taskDone }
	ranges := ledger.EncodeRanges(done, size)
	if ranges.Size() <= t.cfg.MaxValueBytes {
		key := ledger.FinishedTasksKey(j.id, chunk)
		j.record.addFinishedKey(key)
		t.writes.put(ledger.Write{Key: key, Value: ranges, Tag: finishedTag{j.index, ended}})
		return
	}
	// It has to be written in parts; all of them the first time, since the chunk's
	// own key may not hold what has ended since it was last written.
	all := !j.record.chunksInParts[chunk]
	if j.record.chunksInParts == nil {
		j.record.chunksInParts = map[int]bool{}
	}
	j.record.chunksInParts[chunk] = true
	part := ledger.TasksPerPart(t.cfg.MaxValueBytes)
	for from := 0; from < size; from += part {
		to := min(from+part, size)
		n, _ := slices.BinarySearch(ended, int32(first+to))
		ranges := ledger.EncodeRanges(func(i int) bool { return i >= from && done(i) }, to)
		if len(ranges) > 0 && (all || n > 0) {
			key := ledger.FinishedTasksPartKey(j.id, chunk, from)
			j.record.addFinishedKey(key)
			w := ledger.Write{Key: key, Value: ranges}
			if n > 0 {
				w.Tag = finishedTag{j.index, ended[:n]}
			}
			t.writes.put(w)
		}
		ended = ended[n:]
	}
}

// writePriority tells whether somebody waits for a write.
type writePriority int

// The priorities of a write.
const (
	writeUrgent   writePriority = iota
	writeDeferred               // when there is time for it
)

// writeTerminal writes a job's terminal state.
func (t *jobTable) writeTerminal(j *job, order writePriority) {
	rec := ledger.JobRecord{
		AcceptedMS:    j.record.acceptedMS,
		EndedMS:       t.clock.wallMS,
		TerminalState: j.end.state,
		Tasks:         j.progress.total,
		Done:          j.progress.done,
		Origin:        j.transfer.origin,
		TransferEpoch: j.transfer.epoch,
	}
	if j.end.state == wire.JobCancelled {
		// What a new leader needs stays: the use of tasks that it has not yet seen end counts
		// for the team. The whole description may be more than fits by now.
		rec.Job = j.spec.CancelledSummary()
	} else if j.transfer.origin == "" {
		// Later leaders learn the demand from it.
		rec.Class, rec.Team = j.spec.Class, j.spec.Team
		rec.Cores = j.totalCores()
		rec.RunS = t.estimates.expectedRun(j).Seconds()
	}
	t.writes.put(ledger.Write{Key: ledger.JobKey(j.id), Value: rec, Urgent: order == writeUrgent, Version: j.record.version, Tag: terminalTag{j.index}})
}
