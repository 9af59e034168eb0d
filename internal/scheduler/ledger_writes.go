package scheduler

import (
	"maps"
	"slices"

	"leadproxy/internal/federation"
	"leadproxy/internal/ledger"
)

// The tags of ledger writes.
type (
	hostTag struct {
		job      int32
		from, to int
	}
	finishedTag struct {
		job   int32
		tasks []int32
	}
	terminalTag    struct{ job int32 }
	scaleOutTag    struct{ name string }
	unreachableTag struct{ key string }
	delegatedTag   struct {
		ref    string
		record federation.DelegatedRecord
	}
)

// IsTag marks the tags for the ledger.
func (hostTag) IsTag()        {}
func (finishedTag) IsTag()    {}
func (terminalTag) IsTag()    {}
func (scaleOutTag) IsTag()    {}
func (unreachableTag) IsTag() {}
func (delegatedTag) IsTag()   {}

// finishedKey notes a key of finished tasks.
func (j *job) finishedKey(key string) {
	if j.record.finishedKeys == nil {
		j.record.finishedKeys = map[string]bool{}
	}
	j.record.finishedKeys[key] = true
}

// dropKeys deletes what the ledger holds of a finished job besides its record.
func (t *jobTable) dropKeys(j *job) {
	var writes []ledger.Write
	for chunk := range j.record.hostChunks {
		writes = append(writes, ledger.Write{Key: ledger.HostKey(j.id, chunk)})
	}
	for _, key := range slices.Sorted(maps.Keys(j.record.finishedKeys)) {
		writes = append(writes, ledger.Write{Key: key})
	}
	if len(writes) > 0 {
		t.effects.emit(WriteLedger{Writes: writes})
	}
}

// rejected has what was too large for a value written in smaller pieces.
func (c *Core) rejected(tag ledger.Tag) {
	switch t := tag.(type) {
	case hostTag:
		j := c.jobs.list[t.job]
		if j.record.hosts == nil {
			return
		}
		// What is durable stays where it is; what comes after it begins a new key.
		first := slices.IndexFunc(j.record.hosts, func(h host) bool { return !h.durable })
		if first < 0 {
			return
		}
		j.record.hostChunks = slices.DeleteFunc(j.record.hostChunks, func(from int) bool { return from >= first })
		j.record.hostChunks = append(j.record.hostChunks, first)
		j.record.hostsWritten = first
		c.jobs.unwrittenJob(j)
	case finishedTag:
		j := c.jobs.list[t.job]
		if j.progress.tasks != nil {
			j.record.unwrittenTasks = append(j.record.unwrittenTasks, t.tasks...)
			c.jobs.unwrittenJob(j)
		}
	case terminalTag:
		j := c.jobs.list[t.job]
		c.log.Error("the end of a job takes more than a value may hold", "job", j.id)
		c.jobs.writeTerminal(j, true)
	case scaleOutTag:
		c.log.Error("a hire takes more than a value may hold", "hire", t.name)
	case planTag:
		c.evictions.planRejected(t)
	case delegatedTag:
		c.log.Error("the record of a transfer takes more than a value may hold", "job", t.ref)
	}
}

func (c *Core) durable(tag ledger.Tag) {
	switch t := tag.(type) {
	case hostTag:
		j := c.jobs.list[t.job]
		if j.record.hosts == nil {
			return
		}
		for i := t.from; i < t.to; i++ {
			if j.record.hosts[i].durable {
				continue
			}
			j.record.hosts[i].durable = true
			c.sendPlanned(j, c.machines.list[j.record.hosts[i].machine])
		}
	case finishedTag:
		j := c.jobs.list[t.job]
		for _, n := range t.tasks {
			if j.progress.tasks != nil && j.progress.tasks[n].state == taskDone {
				j.progress.tasks[n].state = taskDurable
			}
		}
	case terminalTag:
		c.terminalIsDurable(c.jobs.list[t.job])
	case scaleOutTag:
		c.autoscaling.scaleOutDurable(t.name)
	case unreachableTag:
		c.unreachableWithdrawn(t.key)
	case planTag:
		c.evictions.planDurable(t)
	case delegatedTag:
		c.federation.delegated.Saved(t.ref, t.record, c.clock.now)
		c.applyOriginEffects()
		c.federation.exchange()
	}
}

// addHost notes that a job's tasks may be on a machine. That is written at the end
// of the step, and durable before the first start there.
func (t *jobTable) addHost(j *job, m *machine) {
	j.record.hostAt[m.index] = len(j.record.hosts)
	j.record.hosts = append(j.record.hosts, host{machine: m.index})
	m.recorded.namedByJobs++
	t.unwrittenJob(j)
}

// unwrittenJob has what is new about a job written at the end of the step: a
// burst brings dozens of machines and ended tasks of one job in a step, and each
// by itself would be written with all that came before it.
func (t *jobTable) unwrittenJob(j *job) {
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
			t.writeDone(j)
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
			names = t.chunkFrom(j, first)
		}
		if first+len(names) <= from {
			// There is none, or the last one is full.
			j.record.hostChunks = append(j.record.hostChunks, from)
			first, names = from, t.chunkFrom(j, from)
		}
		to := first + len(names)
		t.writes.put(ledger.Write{Key: ledger.HostKey(j.id, len(j.record.hostChunks)-1), Value: names, Urgent: true, Tag: hostTag{j.index, from, to}})
		from = to
	}
	j.record.hostsWritten = len(j.record.hosts)
}

// chunkFrom names the hosts of a job, from one of them on, that go into one key.
func (t *jobTable) chunkFrom(j *job, first int) []string {
	hosts := j.record.hosts[first:min(first+ledger.HostsPerChunk, len(j.record.hosts))]
	names := make([]string, len(hosts))
	for i, h := range hosts {
		names[i] = t.machines.list[h.machine].name
	}
	return names[:ledger.NamesThatFit(names, t.cfg.ValueBytes)]
}

// writeDone writes the chunks in which a job has tasks that have ended since they
// were last written. Of a job that is over, its record tells all.
func (t *jobTable) writeDone(j *job) {
	ended := j.record.unwrittenTasks
	j.record.unwrittenTasks = nil
	if j.over() {
		return
	}
	slices.Sort(ended)
	for len(ended) > 0 {
		chunk := int(ended[0]) / ledger.TasksPerChunk
		n, _ := slices.BinarySearch(ended, int32((chunk+1)*ledger.TasksPerChunk))
		t.writeChunk(j, chunk, ended[:n])
		ended = ended[n:]
	}
}

// writeChunk writes the finished tasks of one chunk, some of which are new.
func (t *jobTable) writeChunk(j *job, chunk int, ended []int32) {
	first := chunk * ledger.TasksPerChunk
	size := min(ledger.TasksPerChunk, j.progress.total-first)
	done := func(i int) bool { return j.progress.tasks[first+i].state >= taskDone }
	ranges := ledger.EncodeRanges(done, size)
	if ranges.Size() <= t.cfg.ValueBytes {
		key := ledger.FinishedTasksKey(j.id, chunk)
		j.finishedKey(key)
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
	part := ledger.TasksPerPart(t.cfg.ValueBytes)
	for from := 0; from < size; from += part {
		to := min(from+part, size)
		n, _ := slices.BinarySearch(ended, int32(first+to))
		ranges := ledger.EncodeRanges(func(i int) bool { return i >= from && done(i) }, to)
		if len(ranges) > 0 && (all || n > 0) {
			key := ledger.FinishedTasksPartKey(j.id, chunk, from)
			j.finishedKey(key)
			w := ledger.Write{Key: key, Value: ranges}
			if n > 0 {
				w.Tag = finishedTag{j.index, ended[:n]}
			}
			t.writes.put(w)
		}
		ended = ended[n:]
	}
}
