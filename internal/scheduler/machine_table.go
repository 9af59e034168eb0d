package scheduler

// machineTable holds all machines of the term, the live ones, and the names of their zones.
type machineTable struct {
	list        []*machine
	indexByName map[string]int32
	live        []*machine // all that are not gone
	zones       names
}

func newMachineTable() machineTable {
	return machineTable{indexByName: map[string]int32{}}
}
