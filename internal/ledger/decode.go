package ledger

import (
	"errors"
	"fmt"
	"math"
	"sort"
	"strconv"
	"strings"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/federation"
	"leadproxy/internal/rollout"
	"leadproxy/internal/wire"
)

// MalformedError tells of a key whose value can't be read. It concerns that key alone:
// nothing that the state service holds may keep a controller from leading.
type MalformedError struct {
	Key string
	Err error
}

func (e *MalformedError) Error() string { return fmt.Sprintf("ledger key %s: %v", e.Key, e.Err) }

// Unwrap returns what is wrong with the value.
func (e *MalformedError) Unwrap() error { return e.Err }

// DecodeJob reads the record of a job. The error is a *MalformedError.
func DecodeJob(ref string, value []byte) (JobRecord, error) {
	var r JobRecord
	err := json.Unmarshal(value, &r)
	if err == nil {
		err = r.check(ref)
	}
	if err != nil {
		return JobRecord{}, &MalformedError{JobKey(ref), err}
	}
	return r, nil
}

// check tells what no controller can have written.
func (r *JobRecord) check(ref string) error {
	switch r.Terminal {
	case "":
		if r.Job == nil {
			return errors.New("neither a description nor a terminal state")
		}
	case wire.JobDone, wire.JobCancelled:
	default:
		return fmt.Errorf("unknown terminal state %q", r.Terminal)
	}
	if r.Tasks < 0 || r.Tasks > wire.MaxTasks || r.Done < 0 || r.Done > wire.MaxTasks {
		return fmt.Errorf("%d of %d tasks done", r.Done, r.Tasks)
	}
	if j := r.Job; j != nil {
		switch {
		case j.ID != ref:
			return fmt.Errorf("it describes %q", j.ID)
		case j.Tasks < 1 || j.Tasks > wire.MaxTasks:
			return fmt.Errorf("%d tasks", j.Tasks)
		}
		for _, amount := range []float64{j.CPUs, j.GPUs, j.MemGB, j.ImageGB, j.EstimatedRunS, j.CheckpointIntervalS, j.CheckpointDurationS} {
			if !(amount >= 0) || math.IsInf(amount, 0) {
				return fmt.Errorf("an amount of %v", amount)
			}
		}
	}
	return nil
}

// decoder gathers entries of the ledger's prefixes.
type decoder struct {
	snapshot Snapshot
	jobs     map[string]*SavedJob
}

// collect turns entries of the ledger's prefixes into a snapshot.
func collect(entries []wire.Entry) Snapshot {
	d := decoder{Snapshot{Unreachable: map[string]UnreachableRecord{}}, map[string]*SavedJob{}}
	for i := range entries {
		e := &entries[i]
		if err := d.add(e); err != nil {
			var malformed *MalformedError
			if !errors.As(err, &malformed) {
				malformed = &MalformedError{e.Key, err}
			}
			d.snapshot.Malformed = append(d.snapshot.Malformed, malformed)
		}
	}
	return d.finish()
}

// add takes in one entry.
func (d *decoder) add(e *wire.Entry) error {
	switch {
	case strings.HasPrefix(e.Key, JobPrefix):
		return d.addJob(e)
	case strings.HasPrefix(e.Key, finPrefix):
		return d.addFinished(e)
	case strings.HasPrefix(e.Key, hostPrefix):
		return d.addHosts(e)
	case strings.HasPrefix(e.Key, gonePrefix):
		d.snapshot.Gone = append(d.snapshot.Gone, strings.TrimPrefix(e.Key, gonePrefix))
	case strings.HasPrefix(e.Key, silentPrefix):
		return d.addSilent(e)
	case strings.HasPrefix(e.Key, planPrefix):
		return d.addPlan(e)
	case strings.HasPrefix(e.Key, hirePrefix):
		return d.addHire(e)
	case strings.HasPrefix(e.Key, awayPrefix):
		return d.addAway(e)
	case strings.HasPrefix(e.Key, guestPrefix):
		return d.addGuest(e)
	}
	return nil
}

func (d *decoder) job(ref string) *SavedJob {
	if d.jobs[ref] == nil {
		d.jobs[ref] = &SavedJob{ID: ref}
	}
	return d.jobs[ref]
}

func (d *decoder) addJob(e *wire.Entry) error {
	ref := strings.TrimPrefix(e.Key, JobPrefix)
	record, err := DecodeJob(ref, e.Value)
	if err != nil {
		return err
	}
	j := d.job(ref)
	j.Version, j.Record = e.Version, record
	return nil
}

func (d *decoder) addFinished(e *wire.Entry) error {
	ref, chunk, err := numbered(e.Key, finPrefix)
	if err != nil {
		return err
	}
	var r Ranges
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return err
	}
	j := d.job(ref)
	j.Finished = append(j.Finished, SavedRanges{e.Key, chunk, r})
	return nil
}

func (d *decoder) addHosts(e *wire.Entry) error {
	ref, chunk, err := numbered(e.Key, hostPrefix)
	if err != nil {
		return err
	}
	j := d.job(ref)
	var names []string
	if err := json.Unmarshal(e.Value, &names); err != nil {
		j.HostsUnknown = true
		return err
	}
	j.Hosts = append(j.Hosts, SavedHosts{e.Key, chunk, names})
	return nil
}

func (d *decoder) addSilent(e *wire.Entry) error {
	var r UnreachableRecord
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return err
	}
	d.snapshot.Unreachable[e.Key] = r
	return nil
}

func (d *decoder) addHire(e *wire.Entry) error {
	var r ScaleOutRecord
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return err
	}
	if ScaleOutKey(r.Request.RequestID) != e.Key || r.Request.Count < 1 || r.Request.Count > autoscaler.MaxScaleOut {
		return fmt.Errorf("a hire of %d machines named %q", r.Request.Count, r.Request.RequestID)
	}
	d.snapshot.ScaleOuts = append(d.snapshot.ScaleOuts, r)
	return nil
}

// addAway reads a transfer of this cell's. A job whose record can't be read may run
// elsewhere, and is noted as away all the same.
func (d *decoder) addAway(e *wire.Entry) error {
	saved := SavedDelegated{JobID: strings.TrimPrefix(e.Key, awayPrefix)}
	err := json.Unmarshal(e.Value, &saved.Record)
	if r := saved.Record; err == nil && (r.Cell == "" || r.Epoch == 0 || r.State != federation.Offered && r.State != federation.Accepted && r.State != federation.Returned) {
		err = fmt.Errorf("epoch %d to %q is %q", r.Epoch, r.Cell, r.State)
	}
	saved.Unknown = err != nil
	d.snapshot.Delegated = append(d.snapshot.Delegated, saved)
	return err
}

// addPlan reads a plan that drains machines. One that can't be read is not carried out.
func (d *decoder) addPlan(e *wire.Entry) error {
	var r rollout.Record
	if err := json.Unmarshal(e.Value, &r); err != nil {
		return err
	}
	if err := r.Check(strings.TrimPrefix(e.Key, planPrefix)); err != nil {
		return err
	}
	d.snapshot.Plans = append(d.snapshot.Plans, r)
	return nil
}

// addGuest reads a transfer of another cell's. One whose record can't be read is closed
// for all epochs: it may have been accepted.
func (d *decoder) addGuest(e *wire.Entry) error {
	home, ref, found := strings.Cut(strings.TrimPrefix(e.Key, guestPrefix), "/")
	if !found {
		return errors.New("the key names no job")
	}
	saved := SavedForeign{Key: federation.ForeignKey{Origin: home, JobID: ref}, Version: e.Version}
	err := json.Unmarshal(e.Value, &saved.Record)
	if err == nil && saved.Record.Epoch == 0 {
		err = errors.New("it has no epoch")
	}
	if err != nil {
		saved.Record = federation.ForeignRecord{Epoch: math.MaxUint64, State: federation.ForeignRefused}
	}
	d.snapshot.Foreign = append(d.snapshot.Foreign, saved)
	return err
}

// finish puts the jobs in one order everywhere, so that a replay decides the same.
func (d *decoder) finish() Snapshot {
	s := d.snapshot
	for _, j := range d.jobs {
		sort.Slice(j.Hosts, func(a, b int) bool { return j.Hosts[a].Chunk < j.Hosts[b].Chunk })
		s.Jobs = append(s.Jobs, *j)
	}
	sort.Slice(s.Jobs, func(a, b int) bool {
		ja, jb := &s.Jobs[a], &s.Jobs[b]
		if ja.Record.AcceptedMS != jb.Record.AcceptedMS {
			return ja.Record.AcceptedMS < jb.Record.AcceptedMS
		}
		return ja.ID < jb.ID
	})
	return s
}

// numbered splits a key of one of a job's chunks, or of a part of one.
func numbered(key, prefix string) (ref string, chunk int, err error) {
	ref, number, found := strings.Cut(strings.TrimPrefix(key, prefix), "/")
	if !found {
		return "", 0, errors.New("the key has no number")
	}
	number, part, parted := strings.Cut(number, ".")
	if _, err := strconv.Atoi(part); parted && err != nil {
		return "", 0, fmt.Errorf("the number of its part: %w", err)
	}
	chunk, err = strconv.Atoi(number)
	if err != nil {
		return "", 0, fmt.Errorf("its number: %w", err)
	}
	if chunk < 0 || chunk > wire.MaxTasks {
		return "", 0, fmt.Errorf("its number is %d", chunk)
	}
	return ref, chunk, nil
}
