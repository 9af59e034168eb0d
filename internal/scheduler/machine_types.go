package scheduler

import (
	"time"

	"leadproxy/internal/settings"
	"leadproxy/internal/slowfit"
	"leadproxy/internal/wire"
)

// machineTypes holds the machine types of the cloud, in the order in which they became known.
type machineTypes struct {
	list        []machineType
	indexByName map[string]int32
}

func newMachineTypes() machineTypes { return machineTypes{indexByName: map[string]int32{}} }

// known reports whether the cloud has told this leader its machine types.
func (t *machineTypes) known() bool { return len(t.list) > 0 }

// findOrAdd returns the index of a type, and adds the type if it is new.
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
	bootTime time.Duration // moving average of observed boots; at first what the cloud states
}

// maxTasksPerMachine keeps a heartbeat below the protocol's 64 KiB: a task's status takes up to 144
// bytes, and maxUnforgotten ended attempts may be listed besides.
const maxTasksPerMachine = 384

// update replaces the description of the type by the cloud's current one.
func (t *machineType) update(typ wire.MachineType, zones *nameTable) {
	t.MachineType = typ
	t.total = slowfit.Size{CPUs: typ.CPUs, GPUs: typ.GPUs, MemGB: typ.MemGB, Tasks: maxTasksPerMachine}
	t.zones = t.zones[:0]
	for _, zone := range typ.Zones {
		t.zones = append(t.zones, zones.intern(zone))
	}
}

// observeBootTime adds the boot time of a machine of the type to the moving average.
func (t *machineType) observeBootTime(bootTime time.Duration) {
	t.bootTime += (bootTime - t.bootTime) / 4
}

// inheritBootTime sets the boot time to what an earlier leader had learned.
func (t *machineType) inheritBootTime(bootTime time.Duration) { t.bootTime = bootTime }

// price returns the current price of a machine of the type, per hour.
func (t *machineType) price(spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}
