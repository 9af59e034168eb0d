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
	if j.finishedKeys == nil {
		j.finishedKeys = map[string]bool{}
	}
	j.finishedKeys[key] = true
}

// dropKeys deletes what the ledger holds of a finished job besides its record.
func (c *Core) dropKeys(j *job) {
	var writes []ledger.Write
	for chunk := range j.hostChunks {
		writes = append(writes, ledger.Write{Key: ledger.HostKey(j.id, chunk)})
	}
	for _, key := range slices.Sorted(maps.Keys(j.finishedKeys)) {
		writes = append(writes, ledger.Write{Key: key})
	}
	if len(writes) > 0 {
		c.emit(WriteLedger{Writes: writes})
	}
}

// rejected has what was too large for a value written in smaller pieces.
func (c *Core) rejected(tag ledger.Tag) {
	switch t := tag.(type) {
	case hostTag:
		j := c.jobs[t.job]
		if j.hosts == nil {
			return
		}
		// What is durable stays where it is; what comes after it begins a new key.
		first := slices.IndexFunc(j.hosts, func(h host) bool { return !h.durable })
		if first < 0 {
			return
		}
		j.hostChunks = slices.DeleteFunc(j.hostChunks, func(from int) bool { return from >= first })
		j.hostChunks = append(j.hostChunks, first)
		j.hostsWritten = first
		c.unwrittenJob(j)
	case finishedTag:
		j := c.jobs[t.job]
		if j.tasks != nil {
			j.unwrittenTasks = append(j.unwrittenTasks, t.tasks...)
			c.unwrittenJob(j)
		}
	case terminalTag:
		j := c.jobs[t.job]
		c.log.Error("the end of a job takes more than a value may hold", "job", j.id)
		c.writeTerminal(j, true)
	case scaleOutTag:
		c.log.Error("a hire takes more than a value may hold", "hire", t.name)
	case planTag:
		c.planRejected(t)
	case delegatedTag:
		c.log.Error("the record of a transfer takes more than a value may hold", "job", t.ref)
	}
}

func (c *Core) durable(tag ledger.Tag) {
	switch t := tag.(type) {
	case hostTag:
		j := c.jobs[t.job]
		if j.hosts == nil {
			return
		}
		for i := t.from; i < t.to; i++ {
			if j.hosts[i].durable {
				continue
			}
			j.hosts[i].durable = true
			c.sendPlanned(j, c.machines[j.hosts[i].machine])
		}
	case finishedTag:
		j := c.jobs[t.job]
		for _, n := range t.tasks {
			if j.tasks != nil && j.tasks[n].state == taskDone {
				j.tasks[n].state = taskDurable
			}
		}
	case terminalTag:
		c.terminalIsDurable(c.jobs[t.job])
	case scaleOutTag:
		c.scaleOutDurable(t.name)
	case unreachableTag:
		c.unreachableWithdrawn(t.key)
	case planTag:
		c.planDurable(t)
	case delegatedTag:
		c.federation.delegated.RecordSaved(t.ref, t.record, c.now)
		c.applyOriginEffects()
		c.exchange()
	}
}

// addHost notes that a job's tasks may be on a machine. That is written at the end
// of the step, and durable before the first start there.
func (c *Core) addHost(j *job, m *machine) {
	j.hostAt[m.index] = len(j.hosts)
	j.hosts = append(j.hosts, host{machine: m.index})
	m.namedByJobs++
	c.unwrittenJob(j)
}

// unwrittenJob has what is new about a job written at the end of the step: a
// burst brings dozens of machines and ended tasks of one job in a step, and each
// by itself would be written with all that came before it.
func (c *Core) unwrittenJob(j *job) {
	if !j.queuedForWrite {
		j.queuedForWrite = true
		c.unwrittenJobs = append(c.unwrittenJobs, j)
	}
}

// writeJobs writes what is new about jobs.
func (c *Core) writeJobs() {
	for _, j := range c.unwrittenJobs {
		j.queuedForWrite = false
		if j.tasks != nil {
			c.writeHosts(j)
			c.writeDone(j)
		}
	}
	clear(c.unwrittenJobs)
	c.unwrittenJobs = c.unwrittenJobs[:0]
}

// writeHosts writes the chunks in which a job has new hosts.
func (c *Core) writeHosts(j *job) {
	for from := j.hostsWritten; from < len(j.hosts); {
		first, names := 0, []string(nil)
		if n := len(j.hostChunks); n > 0 {
			first = j.hostChunks[n-1]
			names = c.chunkFrom(j, first)
		}
		if first+len(names) <= from {
			// There is none, or the last one is full.
			j.hostChunks = append(j.hostChunks, from)
			first, names = from, c.chunkFrom(j, from)
		}
		to := first + len(names)
		c.put(ledger.Write{Key: ledger.HostKey(j.id, len(j.hostChunks)-1), Value: names, Urgent: true, Tag: hostTag{j.index, from, to}})
		from = to
	}
	j.hostsWritten = len(j.hosts)
}

// chunkFrom names the hosts of a job, from one of them on, that go into one key.
func (c *Core) chunkFrom(j *job, first int) []string {
	hosts := j.hosts[first:min(first+ledger.HostsPerChunk, len(j.hosts))]
	names := make([]string, len(hosts))
	for i, h := range hosts {
		names[i] = c.machines[h.machine].name
	}
	return names[:ledger.NamesThatFit(names, c.cfg.ValueBytes)]
}

// writeDone writes the chunks in which a job has tasks that have ended since they
// were last written. Of a job that is over, its record tells all.
func (c *Core) writeDone(j *job) {
	ended := j.unwrittenTasks
	j.unwrittenTasks = nil
	if j.over() {
		return
	}
	slices.Sort(ended)
	for len(ended) > 0 {
		chunk := int(ended[0]) / ledger.TasksPerChunk
		n, _ := slices.BinarySearch(ended, int32((chunk+1)*ledger.TasksPerChunk))
		c.writeChunk(j, chunk, ended[:n])
		ended = ended[n:]
	}
}

// writeChunk writes the finished tasks of one chunk, some of which are new.
func (c *Core) writeChunk(j *job, chunk int, ended []int32) {
	first := chunk * ledger.TasksPerChunk
	size := min(ledger.TasksPerChunk, j.total-first)
	done := func(i int) bool { return j.tasks[first+i].state >= taskDone }
	ranges := ledger.EncodeRanges(done, size)
	if ranges.Size() <= c.cfg.ValueBytes {
		key := ledger.FinishedTasksKey(j.id, chunk)
		j.finishedKey(key)
		c.put(ledger.Write{Key: key, Value: ranges, Tag: finishedTag{j.index, ended}})
		return
	}
	// It has to be written in parts; all of them the first time, since the chunk's
	// own key may not hold what has ended since it was last written.
	all := !j.chunksInParts[chunk]
	if j.chunksInParts == nil {
		j.chunksInParts = map[int]bool{}
	}
	j.chunksInParts[chunk] = true
	part := ledger.TasksPerPart(c.cfg.ValueBytes)
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
			c.put(w)
		}
		ended = ended[n:]
	}
}
