package ledger

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"leadproxy/internal/federation"
	"leadproxy/internal/wire"
)

// Key prefixes of the ledger's records.
const (
	JobPrefix         = "job/"
	finishedPrefix    = "fin/"
	hostsPrefix       = "host/"
	scaleOutPrefix    = "hire/"
	gonePrefix        = "gone/"
	unreachablePrefix = "silent/"
	planPrefix        = "drain/" // drain plans
	transferPrefix    = "cell/"  // transfers of delegated and foreign jobs
	delegatedPrefix   = transferPrefix + "away/"
	foreignPrefix     = transferPrefix + "guest/"
	fenceKey          = "fence" // only its version matters, not its value
)

// Prefixes returns the key prefixes that together cover the whole ledger.
func Prefixes() []string {
	return []string{JobPrefix, finishedPrefix, hostsPrefix, scaleOutPrefix, gonePrefix, unreachablePrefix, planPrefix, transferPrefix, fenceKey}
}

// JobKey returns the key of a job's record.
func JobKey(jobID string) string { return JobPrefix + jobID }

// FinishedTasksKey returns the key of one chunk of a job's finished tasks.
func FinishedTasksKey(jobID string, chunk int) string {
	return fmt.Sprintf("%s%s/%d", finishedPrefix, jobID, chunk)
}

// FinishedTasksPartKey returns the key of the part of a chunk that starts at task first of the
// chunk. A chunk whose ranges exceed the store's value limit is written in parts. An earlier
// value under the chunk's own key stays valid, because a finished task remains finished.
func FinishedTasksPartKey(jobID string, chunk, first int) string {
	return fmt.Sprintf("%s.%d", FinishedTasksKey(jobID, chunk), first)
}

// HostsKey returns the key of one chunk of the machines that may run tasks of a job.
func HostsKey(jobID string, chunk int) string {
	return fmt.Sprintf("%s%s/%d", hostsPrefix, jobID, chunk)
}

// ScaleOutKey returns the key of a scale-out's record.
func ScaleOutKey(requestID string) string { return scaleOutPrefix + requestID }

// GoneKey returns the key that marks a machine as permanently gone, so that a new leader does
// not wait for a heartbeat from it. The key is kept while an unfinished job lists the machine as
// a host.
func GoneKey(machine string) string { return gonePrefix + machine }

// UnreachableKey returns the key of a record of unreachable machines.
func UnreachableKey(name string) string { return unreachablePrefix + name }

// PlanKey returns the key of a drain plan's record.
func PlanKey(name string) string { return planPrefix + name }

// DelegatedKey returns the key under which the origin records the latest transfer of a job.
func DelegatedKey(jobID string) string { return delegatedPrefix + jobID }

// ForeignKey returns the key under which the neighbour records the latest transfer of a job.
func ForeignKey(key federation.ForeignKey) string {
	return foreignPrefix + key.Origin + "/" + key.JobID
}

// parseForeignKey parses a key of the form that ForeignKey returns.
func parseForeignKey(key string) (federation.ForeignKey, error) {
	origin, jobID, found := strings.Cut(strings.TrimPrefix(key, foreignPrefix), "/")
	if !found {
		return federation.ForeignKey{}, errors.New("key has no job id")
	}
	return federation.ForeignKey{Origin: origin, JobID: jobID}, nil
}

// chunkKey identifies one chunk of a job's finished tasks or hosts.
type chunkKey struct {
	jobID string
	chunk int
}

// parseChunkKey parses the key of a chunk, or of a part of one, below prefix. The chunk number
// must be between 0 and wire.MaxTasks.
func parseChunkKey(key, prefix string) (chunkKey, error) {
	jobID, number, found := strings.Cut(strings.TrimPrefix(key, prefix), "/")
	if !found {
		return chunkKey{}, errors.New("key has no chunk number")
	}
	number, part, isPart := strings.Cut(number, ".")
	if _, err := strconv.Atoi(part); isPart && err != nil {
		return chunkKey{}, fmt.Errorf("parsing the part number of the key: %w", err)
	}
	chunk, err := strconv.Atoi(number)
	if err != nil {
		return chunkKey{}, fmt.Errorf("parsing the chunk number of the key: %w", err)
	}
	if chunk < 0 || chunk > wire.MaxTasks {
		return chunkKey{}, fmt.Errorf("chunk number %d is out of range", chunk)
	}
	return chunkKey{jobID: jobID, chunk: chunk}, nil
}
