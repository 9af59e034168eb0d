package softstate

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
)

// The largest cluster that has to be supported, and the tasks of its machines.
const (
	largestClusterMachines = 4000
	tasksPerMachine        = 8
	maxStreamBytes         = 4 << 20 // to bring everything once
	maxBatchBytes          = 1 << 20 // a quarter of what gRPC takes
	maxReplicaBytes        = 16 << 20
)

func busyMachine(i int) Machine {
	m := Machine{Name: fmt.Sprintf("vm-%06d", i), Address: fmt.Sprintf("10.20.%d.%d:9000", i/256, i%256), AgentEpoch: 3, FencingToken: 1 << 40, SinceHeartbeat: time.Second}
	for k := range tasksPerMachine {
		m.Allocations = append(m.Allocations, Allocation{Task: fmt.Sprintf("job-%06d/%d", i, k), Attempt: 1<<40 + uint64(i*tasksPerMachine+k), Running: time.Hour})
		m.Images = append(m.Images, Image{Name: fmt.Sprintf("image-%d", k), GB: 1.5})
	}
	return m
}

// TestSoftStateOfLargestCluster: the bytes sent and kept for 4,000 busy machines.
func TestSoftStateOfLargestCluster(t *testing.T) {
	replica, now := NewReplica(), time.Now()
	replica.BeginStream()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	total, most := 0, 0
	for i := 0; i < largestClusterMachines; i += MaxChanges {
		batch := Batch{Term: 1, Sequence: uint64(i/MaxChanges + 1)}
		for k := i; k < min(i+MaxChanges, largestClusterMachines); k++ {
			batch.Machines = append(batch.Machines, busyMachine(k))
		}
		message := encode(batch)
		size := proto.Size(message)
		total, most = total+size, max(most, size)
		if err := replica.Apply(decode(message), now); err != nil {
			t.Fatal(err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	kept := int(after.HeapAlloc) - int(before.HeapAlloc)
	t.Logf("%d machines: %d KB sent, the largest batch %d KB, %d KB kept", replica.MachineCount(), total>>10, most>>10, kept>>10)
	if replica.MachineCount() != largestClusterMachines || total > maxStreamBytes || most > maxBatchBytes || kept > maxReplicaBytes {
		t.Errorf("%d machines: %d bytes sent, the largest batch %d, %d kept", replica.MachineCount(), total, most, kept)
	}
}
