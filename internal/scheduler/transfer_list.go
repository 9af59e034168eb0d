package scheduler

import (
	"maps"

	"leadproxy/internal/spill"
)

// transfersListed answers an operator.
func (c *Core) transfersListed(e TransfersListed) {
	t := &c.transfers
	list := TransferList{To: e.To, Away: t.home.List(c.now), Counts: maps.Clone(t.counts)}
	lent := map[string]float64{}
	for _, key := range t.guests.Keys() {
		record, _ := t.guests.Record(key)
		state, _ := c.guestState(key)
		if record.State == spill.GuestAccepted {
			list.Guests = append(list.Guests, GuestView{Key: key, Record: record, State: state})
		}
	}
	for _, j := range c.active {
		if j.home != "" && !j.over() {
			lent[j.home] += j.cores()
		}
	}
	for _, n := range t.neighbours {
		jobs, cores := c.awayIn(n)
		view := CellView{Name: n.Name, Drain: n.Drain, Silent: n.silent, Jobs: jobs, Cores: cores, Lent: lent[n.Name]}
		if c.now < n.until {
			view.Credit = n.credit
		}
		list.Cells = append(list.Cells, view)
	}
	c.emit(list)
}

// guestState is the state of a guest.
func (c *Core) guestState(key spill.GuestKey) (spill.JobState, bool) {
	return guestJobs{c}.GuestState(key)
}
