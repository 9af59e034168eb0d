package scheduler

import (
	"maps"
	"slices"
	"time"

	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// initHosts prepares the host index of a job that has not ended.
func (r *jobRecord) initHosts() { r.hostIndexByMachine = map[int32]int{} }

// addFinishedKey records that a key holds finished tasks of the job.
func (r *jobRecord) addFinishedKey(key string) {
	if r.finishedKeys == nil {
		r.finishedKeys = map[string]bool{}
	}
	r.finishedKeys[key] = true
}

// deleteKeys deletes all ledger keys of an ended job except its record.
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

// addHost records that a job's tasks may run on a machine. The record is written at the end of the
// step and must be durable before the first start is sent there.
func (t *jobTable) addHost(j *job, m *machine) {
	j.record.hostIndexByMachine[m.index] = len(j.record.hosts)
	j.record.hosts = append(j.record.hosts, jobHost{machine: m.index})
	m.recorded.namedByJobs++
	t.queueWrite(j)
}

// markHostsDurable marks the hosts of a completed write as durable. It returns the machines of those
// that were not durable before.
func (t *jobTable) markHostsDurable(j *job, tag hostTag) (machines []int32) {
	if j.record.hosts == nil {
		return nil
	}
	for i := tag.from; i < tag.to; i++ {
		if host := &j.record.hosts[i]; !host.durable {
			host.durable = true
			machines = append(machines, host.machine)
		}
	}
	return machines
}

// requeueRejectedHosts writes a job's hosts again after a write was rejected as larger than the
// value limit. Durable hosts keep their key; the first host that is not durable starts a new one.
func (t *jobTable) requeueRejectedHosts(j *job) {
	first := slices.IndexFunc(j.record.hosts, func(host jobHost) bool { return !host.durable })
	if first < 0 {
		return
	}
	j.record.hostChunks = slices.DeleteFunc(j.record.hostChunks, func(from int) bool { return from >= first })
	j.record.hostChunks = append(j.record.hostChunks, first)
	j.record.hostsWritten = first
	t.queueWrite(j)
}

// queueFinishedTasks queues completed tasks to be written at the end of the step.
func (t *jobTable) queueFinishedTasks(j *job, tasks ...int32) {
	if j.progress.tasks != nil {
		j.record.unwrittenTasks = append(j.record.unwrittenTasks, tasks...)
		t.queueWrite(j)
	}
}

// deleteRestoredKeys deletes the keys that an earlier leader left behind of a job that is done.
func (t *jobTable) deleteRestoredKeys(saved *ledger.SavedJob) {
	for _, hosts := range saved.Hosts {
		t.writes.put(ledger.Write{Key: hosts.Key})
	}
	for _, finished := range saved.Finished {
		t.writes.put(ledger.Write{Key: finished.Key})
	}
}

// restoreFinished restores the finished tasks of a job from the ledger.
func (t *jobTable) restoreFinished(j *job, saved *ledger.SavedJob) {
	count := 0
	for _, ranges := range saved.Finished {
		j.record.addFinishedKey(ranges.Key)
		ranges.Ranges.Each(func(i int) {
			if j.progress.restoreFinished(ranges.Chunk*ledger.TasksPerChunk + i) {
				count++
			}
		})
	}
	// The record of a cancelled job holds the count too, and the ranges may not be deleted yet.
	// Adding both gave more finished tasks than the job has, and no controller could begin a term.
	j.progress.restore(count, len(saved.Hosts) > 0)
}

// restoreHosts restores the hosts of a job from one ledger key. Machines that may still exist are in
// doubt until the job's tasks there are known.
func (t *jobTable) restoreHosts(j *job, chunk int, machines []*machine) {
	// A key that is missing because its deletion had started keeps its chunk number.
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

// addInDoubt records that the job may have tasks on a machine that this leader has not seen yet.
func (r *jobRecord) addInDoubt(machine int32) {
	if r.inDoubtHosts == nil {
		r.inDoubtHosts = map[int32]bool{}
	}
	r.inDoubtHosts[machine] = true
}

// setHostsUnknown records that any machine may run tasks of the job until a time.
func (r *jobRecord) setHostsUnknown(until time.Duration) { r.hostsUnknownUntil = until }

// mayHaveUnseenTasks reports whether an earlier leader may have started tasks that this one has not
// seen yet.
func (r *jobRecord) mayHaveUnseenTasks(now time.Duration) bool {
	return len(r.inDoubtHosts) > 0 || now < r.hostsUnknownUntil
}

// resolveInDoubt records that the job's tasks on a machine are known. It reports whether no machine
// is left in doubt.
func (r *jobRecord) resolveInDoubt(machine int32) (last bool) {
	delete(r.inDoubtHosts, machine)
	return len(r.inDoubtHosts) == 0
}

// queueWrite queues a job for writeJobs at the end of the step. A burst adds dozens of hosts and
// finished tasks to one job in a single step; written one at a time, each would rewrite all entries
// before it.
func (t *jobTable) queueWrite(j *job) {
	if !j.record.queuedForWrite {
		j.record.queuedForWrite = true
		t.unwritten = append(t.unwritten, j)
	}
}

// writeJobs writes the new hosts and finished tasks of all queued jobs.
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

// writeHosts writes the chunks that hold new hosts of a job.
func (t *jobTable) writeHosts(j *job) {
	for from := j.record.hostsWritten; from < len(j.record.hosts); {
		chunkStart, names := 0, []string(nil)
		if chunks := len(j.record.hostChunks); chunks > 0 {
			chunkStart = j.record.hostChunks[chunks-1]
			names = t.hostNamesForChunk(j, chunkStart)
		}
		if chunkStart+len(names) <= from {
			// There is no chunk yet, or the last one is full.
			j.record.hostChunks = append(j.record.hostChunks, from)
			chunkStart, names = from, t.hostNamesForChunk(j, from)
		}
		to := chunkStart + len(names)
		t.writes.put(ledger.Write{Key: ledger.HostsKey(j.id, len(j.record.hostChunks)-1), Value: names, Urgent: true, Tag: hostTag{j.index, from, to}})
		from = to
	}
	j.record.hostsWritten = len(j.record.hosts)
}

// hostNamesForChunk returns the names of a job's hosts from index first on, as many as fit into one
// key.
func (t *jobTable) hostNamesForChunk(j *job, first int) []string {
	hosts := j.record.hosts[first:min(first+ledger.HostsPerChunk, len(j.record.hosts))]
	names := make([]string, len(hosts))
	for i, host := range hosts {
		names[i] = t.machines.list[host.machine].name
	}
	return names[:ledger.CountFittingNames(names, t.cfg.MaxValueBytes)]
}

// writeFinished writes the chunks that hold newly finished tasks of a job. An ended job has none
// written: its record replaces them.
func (t *jobTable) writeFinished(j *job) {
	ended := j.record.unwrittenTasks
	j.record.unwrittenTasks = nil
	if j.ended() {
		return
	}
	slices.Sort(ended)
	for len(ended) > 0 {
		chunk := int(ended[0]) / ledger.TasksPerChunk
		count, _ := slices.BinarySearch(ended, int32((chunk+1)*ledger.TasksPerChunk))
		t.writeFinishedChunk(j, chunk, ended[:count])
		ended = ended[count:]
	}
}

// writeFinishedChunk writes the finished tasks of one chunk. ended lists the new ones, in order. A
// chunk that exceeds the value limit is written in parts.
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
	// The first time, all parts are written: the chunk's own key may lack tasks that have
	// finished since it was last written.
	rewriteAll := !j.record.chunksInParts[chunk]
	if j.record.chunksInParts == nil {
		j.record.chunksInParts = map[int]bool{}
	}
	j.record.chunksInParts[chunk] = true
	part := ledger.TasksPerPart(t.cfg.MaxValueBytes)
	for from := 0; from < size; from += part {
		to := min(from+part, size)
		count, _ := slices.BinarySearch(ended, int32(first+to))
		ranges := ledger.EncodeRanges(func(i int) bool { return i >= from && done(i) }, to)
		if len(ranges) > 0 && (rewriteAll || count > 0) {
			key := ledger.FinishedTasksPartKey(j.id, chunk, from)
			j.record.addFinishedKey(key)
			write := ledger.Write{Key: key, Value: ranges}
			if count > 0 {
				write.Tag = finishedTag{j.index, ended[:count]}
			}
			t.writes.put(write)
		}
		ended = ended[count:]
	}
}

// writePriority is the urgency of a write.
type writePriority int

const (
	writeUrgent   writePriority = iota // a user or another job waits for it
	writeDeferred                      // written when write capacity permits
)

// writeTerminal writes a job's record with its terminal state.
func (t *jobTable) writeTerminal(j *job, priority writePriority) {
	record := ledger.JobRecord{
		AcceptedMS:    j.record.acceptedMS,
		EndedMS:       t.clock.wallMS,
		TerminalState: j.end.state,
		Tasks:         j.progress.total,
		Done:          j.progress.done,
		Origin:        j.transfer.origin,
		TransferEpoch: j.transfer.epoch,
	}
	if j.end.state == wire.JobCancelled {
		// The summary keeps what a new leader needs: tasks that it has not yet seen end still
		// count towards the team's use. The full description may exceed the value limit by now.
		record.Job = j.spec.CancelledSummary()
	} else if j.transfer.origin == "" {
		// Later leaders learn the demand from these fields.
		record.Class, record.Team = j.spec.Class, j.spec.Team
		record.Cores = j.totalCores()
		record.RunS = t.estimates.expectedRun(j).Seconds()
	}
	t.writes.put(ledger.Write{Key: ledger.JobKey(j.id), Value: record, Urgent: priority == writeUrgent, Version: j.record.version, Tag: terminalTag{j.index}})
}
