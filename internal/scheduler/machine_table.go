package scheduler

import (
	"slices"

	"leadproxy/internal/ledger"
)

// machineTable holds all machines known in this term, and the names of their zones.
type machineTable struct {
	list        []*machine // by index, including those that are gone
	indexByName map[string]int32
	live        []*machine // machines that dropGone has not removed
	zones       nameTable
}

func newMachineTable() machineTable {
	return machineTable{indexByName: map[string]int32{}}
}

// add appends a new machine. Its index must be the length of the list.
func (t *machineTable) add(m *machine) {
	t.indexByName[m.name] = m.index
	t.list = append(t.list, m)
	t.live = append(t.live, m)
}

// find returns the machine with the given name, or nil if this term doesn't know it. By the time
// that jobs may be disrupted, a machine of an earlier leader that is still unknown is gone: the
// cloud's list has been read since, and a lease has passed.
func (t *machineTable) find(name string) *machine {
	if i, ok := t.indexByName[name]; ok {
		return t.list[i]
	}
	return nil
}

// count returns the number of machines that are not gone.
func (t *machineTable) count() (n int) {
	for _, m := range t.live {
		if m.state != machineGone {
			n++
		}
	}
	return n
}

// unresolvedHosts returns the number of machines that may still run unreported tasks started by an
// earlier leader.
func (t *machineTable) unresolvedHosts() int {
	n := 0
	for _, m := range t.live {
		if len(m.recorded.inDoubtJobs) > 0 {
			n++
		}
	}
	return n
}

// dropGone removes machines that are gone from the live list. One with a record in the ledger stays
// until no job names it as a host; then the record is deleted.
func (t *machineTable) dropGone(writes *durableWrites) {
	t.live = slices.DeleteFunc(t.live, func(m *machine) bool {
		switch {
		case m.state != machineGone || m.recorded.gone && m.recorded.namedByJobs > 0:
			return false
		case m.recorded.gone:
			m.recorded.setGone(false)
			writes.put(ledger.Write{Key: ledger.GoneKey(m.name)})
		}
		return true
	})
}
