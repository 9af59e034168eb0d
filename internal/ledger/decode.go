package ledger

import (
	"errors"
	"strings"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/rollout"
	"leadproxy/internal/wire"
)

// decodeSnapshot decodes the entries of the ledger. Entries that can't be decoded are listed in
// Snapshot.Malformed.
func decodeSnapshot(entries []wire.Entry) Snapshot {
	d := snapshotDecoder{Snapshot{Unreachable: map[string]UnreachableRecord{}}, map[string]*SavedJob{}}
	for i := range entries {
		if err := d.decode(&entries[i]); err != nil {
			d.snapshot.Malformed = append(d.snapshot.Malformed, decodeError(entries[i].Key, err))
		}
	}
	return d.finish()
}

// decodeError returns err itself if it is a *KeyError already, and otherwise the *KeyError of a key
// that can't be decoded.
func decodeError(key string, err error) *KeyError {
	var keyError *KeyError
	if errors.As(err, &keyError) {
		return keyError
	}
	return &KeyError{Op: OpDecode, Key: key, Err: err}
}

// snapshotDecoder builds a snapshot from entries in any order.
type snapshotDecoder struct {
	snapshot Snapshot
	jobs     map[string]*SavedJob
}

// decoders lists the method that decodes the entries of each prefix. No prefix is a prefix of
// another one, so at most one method applies to a key.
var decoders = []struct {
	prefix string
	decode func(*snapshotDecoder, *wire.Entry) error
}{
	{JobPrefix, (*snapshotDecoder).decodeJob},
	{finishedPrefix, (*snapshotDecoder).decodeFinished},
	{hostsPrefix, (*snapshotDecoder).decodeHosts},
	{gonePrefix, (*snapshotDecoder).decodeGone},
	{unreachablePrefix, (*snapshotDecoder).decodeUnreachable},
	{planPrefix, (*snapshotDecoder).decodePlan},
	{scaleOutPrefix, (*snapshotDecoder).decodeScaleOut},
	{delegatedPrefix, (*snapshotDecoder).decodeDelegated},
	{foreignPrefix, (*snapshotDecoder).decodeForeign},
}

// decode adds one entry to the snapshot. It ignores keys without a decoder, such as the fence.
func (d *snapshotDecoder) decode(entry *wire.Entry) error {
	for _, decoder := range decoders {
		if strings.HasPrefix(entry.Key, decoder.prefix) {
			return decoder.decode(d, entry)
		}
	}
	return nil
}

// ensureJob returns the job with the given id, which it adds to the snapshot if it is missing.
func (d *snapshotDecoder) ensureJob(id string) *SavedJob {
	if d.jobs[id] == nil {
		d.jobs[id] = &SavedJob{ID: id}
	}
	return d.jobs[id]
}

func (d *snapshotDecoder) decodeJob(entry *wire.Entry) error {
	id := strings.TrimPrefix(entry.Key, JobPrefix)
	record, err := DecodeJobRecord(id, entry.Value)
	if err != nil {
		return err
	}
	job := d.ensureJob(id)
	job.Version, job.Record = entry.Version, record
	return nil
}

func (d *snapshotDecoder) decodeFinished(entry *wire.Entry) error {
	key, err := parseChunkKey(entry.Key, finishedPrefix)
	if err != nil {
		return err
	}
	ranges, err := decodeValue[Ranges](entry)
	if err != nil {
		return err
	}
	job := d.ensureJob(key.jobID)
	job.Finished = append(job.Finished, SavedRanges{entry.Key, key.chunk, ranges})
	return nil
}

// decodeHosts decodes a chunk of hosts. If it can't be decoded, the job's HostsUnknown is set,
// because the job may then run on any machine.
func (d *snapshotDecoder) decodeHosts(entry *wire.Entry) error {
	key, err := parseChunkKey(entry.Key, hostsPrefix)
	if err != nil {
		return err
	}
	job := d.ensureJob(key.jobID)
	machines, err := decodeValue[[]string](entry)
	if err != nil {
		job.HostsUnknown = true
		return err
	}
	job.Hosts = append(job.Hosts, SavedHosts{entry.Key, key.chunk, machines})
	return nil
}

func (d *snapshotDecoder) decodeGone(entry *wire.Entry) error {
	d.snapshot.GoneMachines = append(d.snapshot.GoneMachines, strings.TrimPrefix(entry.Key, gonePrefix))
	return nil
}

func (d *snapshotDecoder) decodeUnreachable(entry *wire.Entry) error {
	record, err := decodeValue[UnreachableRecord](entry)
	if err != nil {
		return err
	}
	d.snapshot.Unreachable[entry.Key] = record
	return nil
}

func (d *snapshotDecoder) decodeScaleOut(entry *wire.Entry) error {
	record, err := decodeValue[ScaleOutRecord](entry)
	if err != nil {
		return err
	}
	if err := record.check(entry.Key); err != nil {
		return err
	}
	d.snapshot.ScaleOuts = append(d.snapshot.ScaleOuts, record)
	return nil
}

// decodePlan decodes a drain plan. A plan that can't be decoded is not executed.
func (d *snapshotDecoder) decodePlan(entry *wire.Entry) error {
	record, err := decodeValue[rollout.Record](entry)
	if err != nil {
		return err
	}
	if err := record.Check(strings.TrimPrefix(entry.Key, planPrefix)); err != nil {
		return err
	}
	d.snapshot.Plans = append(d.snapshot.Plans, record)
	return nil
}

// decodeDelegated decodes a transfer to another cell. The transfer is added even if its record
// can't be decoded.
func (d *snapshotDecoder) decodeDelegated(entry *wire.Entry) error {
	saved, err := decodeDelegated(entry)
	d.snapshot.Delegated = append(d.snapshot.Delegated, saved)
	return err
}

// decodeForeign decodes a transfer from another cell. The transfer is added even if its record
// can't be decoded.
func (d *snapshotDecoder) decodeForeign(entry *wire.Entry) error {
	key, err := parseForeignKey(entry.Key)
	if err != nil {
		return err
	}
	saved, err := decodeForeign(key, entry)
	d.snapshot.Foreign = append(d.snapshot.Foreign, saved)
	return err
}

// finish returns the snapshot. Its jobs are sorted, so that every controller sees them in the same
// order and a replay makes the same decisions.
func (d *snapshotDecoder) finish() Snapshot {
	snapshot := d.snapshot
	for _, job := range d.jobs {
		job.sortHosts()
		snapshot.Jobs = append(snapshot.Jobs, *job)
	}
	sortByAcceptance(snapshot.Jobs)
	return snapshot
}

func decodeValue[T any](entry *wire.Entry) (T, error) {
	var value T
	err := json.Unmarshal(entry.Value, &value)
	return value, err
}
