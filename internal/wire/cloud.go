package wire

// CapacityPool is what the cloud rents machines from: one machine type in one zone, spot or
// on demand.
type CapacityPool struct {
	Type string `json:"flavor"`
	Zone string `json:"room"`
	Spot bool   `json:"loaners"`
}

// MachineTypes lists the machine types that the cloud rents.
type MachineTypes struct {
	Types []MachineType `json:"flavors"`
}

// MachineType is the size, price and boot time of one type of machine.
type MachineType struct {
	Name        string   `json:"name"`
	CPUs        float64  `json:"vcpus"`
	GPUs        float64  `json:"gpus"`
	MemGB       float64  `json:"mem_gb"`
	CacheGB     float64  `json:"cache_gb"`
	FetchGBPerS float64  `json:"fetch_gb_per_s"`
	Price       float64  `json:"rate"`
	SpotPrice   float64  `json:"market_price"`
	BootS       float64  `json:"startup_s"`
	Zones       []string `json:"rooms"`
}

// ScaleOutRequest asks the cloud for machines of a pool. The cloud carries out each request id
// once.
type ScaleOutRequest struct {
	RequestID string `json:"hire"`
	CapacityPool
	Count int `json:"number"`
}

// MachineNames names machines, in the response to a scale-out and in a deletion.
type MachineNames struct {
	Names []string `json:"hosts"`
}

// MachineList is one page of the cloud's list of rented machines.
type MachineList struct {
	Machines []ListedMachine `json:"hosts"`
	More     bool            `json:"has_next"`
}

// ListedMachine is one machine in the cloud's list.
type ListedMachine struct {
	Name    string `json:"ref"`
	Address string `json:"address"`
	CapacityPool
	Status string  `json:"status"`
	AgeS   float64 `json:"held_s"`
}

// The states of a machine in the list.
const (
	MachineBooting = "booting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)
