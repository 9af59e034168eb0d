package scheduler

import (
	"time"

	"leadproxy/internal/slowfit"
	"leadproxy/internal/wire"
)

// machineTypes are the machine types of the cloud, in the order in which they became known.
type machineTypes struct {
	list        []machineType
	indexByName map[string]int32
}

func newMachineTypes() machineTypes { return machineTypes{indexByName: map[string]int32{}} }

// machineType is a machine type of the cloud.
type machineType struct {
	wire.MachineType
	total slowfit.Size
	zones []int32
	boot  time.Duration // learned
}

// price is what a machine of the type costs per hour at present.
func (t *machineType) price(spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}
