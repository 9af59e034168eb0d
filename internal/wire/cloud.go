package wire

// CapacityPool identifies a pool of machines that the cloud rents out: one machine type in one
// zone, spot or on demand.
type CapacityPool struct {
	Type string `json:"flavor"`
	Zone string `json:"room"`
	Spot bool   `json:"loaners"`
}

// MachineTypes lists the machine types that the cloud offers.
type MachineTypes struct {
	Types []MachineType `json:"flavors"`
}

// MachineType describes the size, price and boot time of one machine type.
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

// ScaleOutRequest requests Count machines of a pool. It is idempotent: the cloud executes each
// request id once.
type ScaleOutRequest struct {
	RequestID string `json:"hire"`
	CapacityPool
	Count int `json:"number"`
}

// MachineNames lists machines, in the response to a scale-out and in a deletion request.
type MachineNames struct {
	Names []string `json:"hosts"`
}

// MachineList is one page of the cloud's list of rented machines.
type MachineList struct {
	Machines []ListedMachine `json:"hosts"`
	More     bool            `json:"has_next"` // there are further pages
}

// ListedMachine is one machine in the cloud's list.
type ListedMachine struct {
	Name    string `json:"ref"`
	Address string `json:"address"`
	CapacityPool
	Status string  `json:"status"`
	AgeS   float64 `json:"held_s"` // seconds since the machine was rented
}

// Values of ListedMachine.Status.
const (
	MachineBooting = "booting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)
