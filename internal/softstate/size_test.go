package softstate

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
)

// The largest cluster that must be supported, and the bounds of its soft state.
const (
	largestClusterMachines = 4000
	tasksPerMachine        = 8
	maxStreamBytes         = 4 << 20 // for all batches of a new stream
	maxBatchBytes          = 1 << 20 // a quarter of gRPC's message limit
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

// TestSoftStateOfLargestCluster checks that the soft state of 4,000 busy machines stays within the
// bounds on the bytes sent in all, in one batch, and kept in the replica.
func TestSoftStateOfLargestCluster(t *testing.T) {
	replica, now := NewReplica(), time.Now()
	replica.BeginStream()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	sentBytes, largestBatch := 0, 0
	for i := 0; i < largestClusterMachines; i += MaxChanges {
		batch := Batch{Term: 1, Sequence: uint64(i/MaxChanges + 1)}
		for k := i; k < min(i+MaxChanges, largestClusterMachines); k++ {
			batch.Machines = append(batch.Machines, busyMachine(k))
		}
		message := encode(batch)
		size := proto.Size(message)
		sentBytes, largestBatch = sentBytes+size, max(largestBatch, size)
		if err := replica.Apply(decode(message), now); err != nil {
			t.Fatal(err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	keptBytes := int(after.HeapAlloc) - int(before.HeapAlloc)
	t.Logf("%d machines: %d KB sent, the largest batch %d KB, %d KB kept", replica.MachineCount(), sentBytes>>10, largestBatch>>10, keptBytes>>10)
	if replica.MachineCount() != largestClusterMachines || sentBytes > maxStreamBytes || largestBatch > maxBatchBytes || keptBytes > maxReplicaBytes {
		t.Errorf("%d machines: %d bytes sent, the largest batch %d, %d kept", replica.MachineCount(), sentBytes, largestBatch, keptBytes)
	}
}
