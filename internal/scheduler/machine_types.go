package scheduler

import (
	"time"

	"leadproxy/internal/settings"
	"leadproxy/internal/slowfit"
	"leadproxy/internal/wire"
)

// machineTypes are the machine types of the cloud, in the order in which they became known.
type machineTypes struct {
	list        []machineType
	indexByName map[string]int32
}

func newMachineTypes() machineTypes { return machineTypes{indexByName: map[string]int32{}} }

// findOrAdd returns the index of a type, which may be new.
func (t *machineTypes) findOrAdd(typ wire.MachineType) (index int32, isNew bool) {
	if i, known := t.indexByName[typ.Name]; known {
		return i, false
	}
	index = int32(len(t.list))
	t.indexByName[typ.Name] = index
	t.list = append(t.list, machineType{MachineType: typ, bootTime: settings.Seconds(typ.BootS)})
	return index, true
}

// machineType is a machine type of the cloud.
type machineType struct {
	wire.MachineType
	total    slowfit.Size
	zones    []int32
	bootTime time.Duration // learned
}

// update takes what the cloud says of the type at present.
func (t *machineType) update(typ wire.MachineType, zones *nameTable) {
	t.MachineType = typ
	t.total = slowfit.Size{CPUs: typ.CPUs, GPUs: typ.GPUs, MemGB: typ.MemGB}
	t.zones = t.zones[:0]
	for _, zone := range typ.Zones {
		t.zones = append(t.zones, zones.intern(zone))
	}
}

// observeBootTime learns from the boot of a machine of the type.
func (t *machineType) observeBootTime(took time.Duration) { t.bootTime += (took - t.bootTime) / 4 }

// inheritBootTime takes over what an earlier leader had learned.
func (t *machineType) inheritBootTime(boot time.Duration) { t.bootTime = boot }

// price is what a machine of the type costs per hour at present.
func (t *machineType) price(spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}
