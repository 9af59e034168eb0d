package scheduler

import (
	"slices"

	"leadproxy/internal/ledger"
)

// machineTable holds all machines of the term, the live ones, and the names of their zones.
type machineTable struct {
	list        []*machine
	indexByName map[string]int32
	live        []*machine // all that are not gone
	zones       nameTable
}

func newMachineTable() machineTable {
	return machineTable{indexByName: map[string]int32{}}
}

// add adds a new machine, whose index follows the last one.
func (t *machineTable) add(m *machine) {
	t.indexByName[m.name] = m.index
	t.list = append(t.list, m)
	t.live = append(t.live, m)
}

// find returns a machine that this term knows, or nil. One of an earlier leader's that is not
// known once jobs may be disrupted is gone: the cloud's list has been read since, and a lease
// has passed.
func (t *machineTable) find(name string) *machine {
	if i, ok := t.indexByName[name]; ok {
		return t.list[i]
	}
	return nil
}

// count is how many machines there are, up or coming.
func (t *machineTable) count() (n int) {
	for _, m := range t.live {
		if m.state != machineGone {
			n++
		}
	}
	return n
}

// unresolvedHosts counts the machines that may still run what an earlier leader started there.
func (t *machineTable) unresolvedHosts() int {
	n := 0
	for _, m := range t.live {
		if len(m.recorded.inDoubtJobs) > 0 {
			n++
		}
	}
	return n
}

// dropGone removes machines that are gone from the live ones. The record that one is gone is
// deleted once no job names it as a host.
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
