package scheduler

import (
	"maps"
	"slices"

	"leadproxy/internal/ledger"
	"leadproxy/internal/spill"
)

// The tags of ledger writes.
type (
	hostTag struct {
		job      int32
		from, to int
	}
	finTag struct {
		job   int32
		tasks []int32
	}
	terminalTag struct{ job int32 }
	hireTag     struct{ name string }
	noteTag     struct{ key string }
	awayTag     struct {
		ref    string
		record spill.AwayRecord
	}
)

// IsTag marks the tags for the ledger.
func (hostTag) IsTag()     {}
func (finTag) IsTag()      {}
func (terminalTag) IsTag() {}
func (hireTag) IsTag()     {}
func (noteTag) IsTag()     {}
func (awayTag) IsTag()     {}

// fin notes a key of finished tasks.
func (j *job) fin(key string) {
	if j.finKeys == nil {
		j.finKeys = map[string]bool{}
	}
	j.finKeys[key] = true
}

// dropKeys deletes what the ledger holds of a finished job besides its record.
func (c *Core) dropKeys(j *job) {
	var writes []ledger.Write
	for chunk := range j.hostChunks {
		writes = append(writes, ledger.Write{Key: ledger.HostKey(j.ref, chunk)})
	}
	for _, key := range slices.Sorted(maps.Keys(j.finKeys)) {
		writes = append(writes, ledger.Write{Key: key})
	}
	if len(writes) > 0 {
		c.emit(Put{Writes: writes})
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
		j.hostsPut = first
		c.unwrittenJob(j)
	case finTag:
		j := c.jobs[t.job]
		if j.tasks != nil {
			j.ended = append(j.ended, t.tasks...)
			c.unwrittenJob(j)
		}
	case terminalTag:
		j := c.jobs[t.job]
		c.log.Error("the end of a job takes more than a value may hold", "job", j.ref)
		c.writeTerminal(j, true)
	case hireTag:
		c.log.Error("a hire takes more than a value may hold", "hire", t.name)
	case planTag:
		c.planRejected(t)
	case awayTag:
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
	case finTag:
		j := c.jobs[t.job]
		for _, n := range t.tasks {
			if j.tasks != nil && j.tasks[n].state == taskDone {
				j.tasks[n].state = taskDurable
			}
		}
	case terminalTag:
		c.terminalIsDurable(c.jobs[t.job])
	case hireTag:
		c.hireDurable(t.name)
	case noteTag:
		c.noteGone(t.key)
	case planTag:
		c.planDurable(t)
	case awayTag:
		c.transfers.home.Saved(t.ref, t.record, c.now)
		c.carryOutHome()
		c.exchange()
	}
}

// addHost notes that a job's tasks may be on a machine. That is written at the end
// of the step, and durable before the first start there.
func (c *Core) addHost(j *job, m *machine) {
	j.hostAt[m.index] = len(j.hosts)
	j.hosts = append(j.hosts, host{machine: m.index})
	m.hostOf++
	c.unwrittenJob(j)
}

// unwrittenJob has what is new about a job written at the end of the step: a
// burst brings dozens of machines and ended tasks of one job in a step, and each
// by itself would be written with all that came before it.
func (c *Core) unwrittenJob(j *job) {
	if !j.unwritten {
		j.unwritten = true
		c.unwritten = append(c.unwritten, j)
	}
}

// writeJobs writes what is new about jobs.
func (c *Core) writeJobs() {
	for _, j := range c.unwritten {
		j.unwritten = false
		if j.tasks != nil {
			c.writeHosts(j)
			c.writeDone(j)
		}
	}
	clear(c.unwritten)
	c.unwritten = c.unwritten[:0]
}

// writeHosts writes the chunks in which a job has new hosts.
func (c *Core) writeHosts(j *job) {
	for from := j.hostsPut; from < len(j.hosts); {
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
		c.put(ledger.Write{Key: ledger.HostKey(j.ref, len(j.hostChunks)-1), Value: names, Urgent: true, Tag: hostTag{j.index, from, to}})
		from = to
	}
	j.hostsPut = len(j.hosts)
}

// chunkFrom names the hosts of a job, from one of them on, that go into one key.
func (c *Core) chunkFrom(j *job, first int) []string {
	hosts := j.hosts[first:min(first+ledger.ChunkHosts, len(j.hosts))]
	names := make([]string, len(hosts))
	for i, h := range hosts {
		names[i] = c.machines[h.machine].name
	}
	return names[:ledger.NamesFit(names, c.cfg.ValueBytes)]
}

// writeDone writes the chunks in which a job has tasks that have ended since they
// were last written. Of a job that is over, its record tells all.
func (c *Core) writeDone(j *job) {
	ended := j.ended
	j.ended = nil
	if j.over() {
		return
	}
	slices.Sort(ended)
	for len(ended) > 0 {
		chunk := int(ended[0]) / ledger.ChunkTasks
		n, _ := slices.BinarySearch(ended, int32((chunk+1)*ledger.ChunkTasks))
		c.writeChunk(j, chunk, ended[:n])
		ended = ended[n:]
	}
}

// writeChunk writes the finished tasks of one chunk, some of which are new.
func (c *Core) writeChunk(j *job, chunk int, ended []int32) {
	first := chunk * ledger.ChunkTasks
	size := min(ledger.ChunkTasks, j.total-first)
	done := func(i int) bool { return j.tasks[first+i].state >= taskDone }
	ranges := ledger.EncodeRanges(done, size)
	if ranges.Size() <= c.cfg.ValueBytes {
		key := ledger.FinKey(j.ref, chunk)
		j.fin(key)
		c.put(ledger.Write{Key: key, Value: ranges, Tag: finTag{j.index, ended}})
		return
	}
	// It has to be written in parts; all of them the first time, since the chunk's
	// own key may not hold what has ended since it was last written.
	all := !j.inParts[chunk]
	if j.inParts == nil {
		j.inParts = map[int]bool{}
	}
	j.inParts[chunk] = true
	part := ledger.PartTasks(c.cfg.ValueBytes)
	for from := 0; from < size; from += part {
		to := min(from+part, size)
		n, _ := slices.BinarySearch(ended, int32(first+to))
		ranges := ledger.EncodeRanges(func(i int) bool { return i >= from && done(i) }, to)
		if len(ranges) > 0 && (all || n > 0) {
			key := ledger.FinPartKey(j.ref, chunk, from)
			j.fin(key)
			w := ledger.Write{Key: key, Value: ranges}
			if n > 0 {
				w.Tag = finTag{j.index, ended[:n]}
			}
			c.put(w)
		}
		ended = ended[n:]
	}
}
