package ledger

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"leadproxy/internal/federation"
	"leadproxy/internal/wire"
)

// The prefixes of the keys.
const (
	JobPrefix         = "job/"
	finishedPrefix    = "fin/"
	hostsPrefix       = "host/"
	scaleOutPrefix    = "hire/"
	gonePrefix        = "gone/"
	unreachablePrefix = "silent/"
	planPrefix        = "drain/" // plans that drain machines
	transferPrefix    = "cell/"  // transfers, both ways
	delegatedPrefix   = transferPrefix + "away/"
	foreignPrefix     = transferPrefix + "guest/"
	fenceKey          = "fence" // its version alone counts
)

// Prefixes are the prefixes of all keys that make up the ledger.
func Prefixes() []string {
	return []string{JobPrefix, finishedPrefix, hostsPrefix, scaleOutPrefix, gonePrefix, unreachablePrefix, planPrefix, transferPrefix, fenceKey}
}

// JobKey is the key of a job's record.
func JobKey(jobID string) string { return JobPrefix + jobID }

// FinishedTasksKey is the key of one chunk of a job's finished tasks.
func FinishedTasksKey(jobID string, chunk int) string {
	return fmt.Sprintf("%s%s/%d", finishedPrefix, jobID, chunk)
}

// FinishedTasksPartKey is the key of the part of a chunk that begins with its task first. A
// chunk whose ranges are more than a value may hold is written in parts. What the
// chunk's own key holds besides stays true: a task that is done remains done.
func FinishedTasksPartKey(jobID string, chunk, first int) string {
	return fmt.Sprintf("%s.%d", FinishedTasksKey(jobID, chunk), first)
}

// HostsKey is the key of one chunk of the machines a job's tasks may be on.
func HostsKey(jobID string, chunk int) string {
	return fmt.Sprintf("%s%s/%d", hostsPrefix, jobID, chunk)
}

// ScaleOutKey is the key of a scale-out's record.
func ScaleOutKey(requestID string) string { return scaleOutPrefix + requestID }

// GoneKey is the key that marks a machine as gone for good, so that a new leader need not
// wait for a heartbeat of it. It is kept while an unfinished job names the machine as a host.
func GoneKey(machine string) string { return gonePrefix + machine }

// UnreachableKey is the key of a record of unreachable machines.
func UnreachableKey(name string) string { return unreachablePrefix + name }

// PlanKey is the key of a plan that drains machines.
func PlanKey(name string) string { return planPrefix + name }

// DelegatedKey is the key of the origin's record of a job's latest transfer.
func DelegatedKey(jobID string) string { return delegatedPrefix + jobID }

// ForeignKey is the key of the neighbour's record of a job's latest transfer.
func ForeignKey(key federation.ForeignKey) string {
	return foreignPrefix + key.Origin + "/" + key.JobID
}

// parseForeignKey is the transfer that a key of the neighbour's records names.
func parseForeignKey(key string) (federation.ForeignKey, error) {
	origin, jobID, found := strings.Cut(strings.TrimPrefix(key, foreignPrefix), "/")
	if !found {
		return federation.ForeignKey{}, errors.New("the key names no job")
	}
	return federation.ForeignKey{Origin: origin, JobID: jobID}, nil
}

// chunkKey names one of a job's chunks.
type chunkKey struct {
	jobID string
	chunk int
}

// parseChunkKey reads the key of one of a job's chunks, or of a part of one.
func parseChunkKey(key, prefix string) (chunkKey, error) {
	jobID, number, found := strings.Cut(strings.TrimPrefix(key, prefix), "/")
	if !found {
		return chunkKey{}, errors.New("the key has no chunk number")
	}
	number, part, isPart := strings.Cut(number, ".")
	if _, err := strconv.Atoi(part); isPart && err != nil {
		return chunkKey{}, fmt.Errorf("parse the key's part number: %w", err)
	}
	chunk, err := strconv.Atoi(number)
	if err != nil {
		return chunkKey{}, fmt.Errorf("parse the key's chunk number: %w", err)
	}
	if chunk < 0 || chunk > wire.MaxTasks {
		return chunkKey{}, fmt.Errorf("chunk number %d is out of range", chunk)
	}
	return chunkKey{jobID: jobID, chunk: chunk}, nil
}
