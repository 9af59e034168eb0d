// Package jobapi serves the users' HTTP interface: submissions, status queries and
// cancellations. Every controller serves it. No response may be older than what any controller
// has told before, so terminal states come from the leader in its term or from a fresh read of
// the key-value store. The package owns the batch of submissions that wait for their commit,
// and no other state.
package jobapi

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/dispatch"
	"leadproxy/internal/election"
	"leadproxy/internal/kvstore"
	"leadproxy/internal/ledger"
	"leadproxy/internal/scheduler"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// Answer is what a user gets.
type Answer struct {
	Status     int
	Body       []byte
	RetryAfter int // seconds; 0: none
}

// Kind is what a user asks for.
type Kind int

// The kinds of requests that nodes pass on to one another.
const (
	Submit Kind = iota + 1
	Status
	Cancel
)

// Peers passes requests on to other nodes.
type Peers interface {
	// Ask has a node answer. An error means that it did not.
	Ask(ctx context.Context, node string, k Kind, ref string, body []byte) (Answer, error)
	// Names lists the other nodes.
	Names() []string
}

// Dispatcher is the node's dispatcher.
type Dispatcher interface {
	Status(ctx context.Context, ref string) (wire.JobStatus, error)
	Cancel(ctx context.Context, ref string) (wire.JobStatus, error)
	JobCreated(j scheduler.JobRecordEvent)
}

// Types tells the machine types, and whether they are known yet.
type Types func() ([]wire.MachineType, bool)

// Service answers users.
type Service struct {
	node       string
	teams      map[string]settings.Team
	elector    *election.Elector
	store      Store
	dispatcher Dispatcher
	peers      Peers
	types      Types
	// Upgraded tells whether all nodes know jobs that wait for others.
	Upgraded func() bool
	commits  *groupCommit
	log      *slog.Logger
	// Healthy tells whether this node can serve users at all; nil: always.
	Healthy func() bool
}

// New makes the service and starts its group commit, which runs until ctx ends.
func New(ctx context.Context, p *settings.Platform, e *election.Elector, store Store, dispatcher Dispatcher, peers Peers, types Types, share float64, log *slog.Logger) *Service {
	s := &Service{node: p.Node, teams: map[string]settings.Team{}, elector: e, store: store, dispatcher: dispatcher,
		peers: peers, types: types, log: log, Upgraded: func() bool { return false }}
	for _, t := range p.Facts.Teams {
		s.teams[t.Name] = t
	}
	// What is accepted now has to fit when the limits have fallen.
	s.commits = newGroupCommit(store, share, p.Facts.State.LeastValueBytes())
	go s.commits.run(ctx)
	return s
}

// JSON makes an answer of a value.
func JSON(status int, body any) Answer {
	b, err := json.Marshal(body)
	if err != nil {
		return Answer{Status: http.StatusInternalServerError}
	}
	return Answer{Status: status, Body: b}
}

func problem(status int, format string, args ...any) Answer {
	return JSON(status, wire.ErrorResponse{Error: fmt.Sprintf(format, args...)})
}

// later tells a user to come again.
func later(status, seconds int, why string) Answer {
	a := problem(status, "%s", why)
	a.RetryAfter = seconds
	return a
}

var busy = later(http.StatusTooManyRequests, 2, "more submissions are coming than can be recorded")

var noState = later(http.StatusServiceUnavailable, 1, "the state service can't be reached at the moment")

// Handle answers a request. local is set for one that another node has passed
// on: it goes no further.
func (s *Service) Handle(ctx context.Context, k Kind, ref string, body []byte, local bool) Answer {
	switch k {
	case Submit:
		return s.submit(ctx, body, local)
	case Status:
		return s.status(ctx, ref, local)
	case Cancel:
		return s.cancel(ctx, ref, local)
	}
	return problem(http.StatusBadRequest, "unknown kind of request")
}

// --- submissions ---

func (s *Service) submit(ctx context.Context, body []byte, local bool) Answer {
	job, ref, err := wire.ParseJob(body)
	if ref == "" {
		return problem(http.StatusBadRequest, "%s", err)
	}
	if err != nil {
		return s.refuse(ctx, ref, body, verdict{refusal: problem(http.StatusBadRequest, "%s", err)}, local)
	}
	if a, ok := s.servedElsewhere(ctx, Submit, ref, body, &local); ok {
		return a
	}
	v := s.judge(ctx, job, local)
	if v.refusal.Status != 0 {
		return s.refuse(ctx, ref, body, v, local)
	}
	if s.commits.pressed() {
		// Users who were turned away repeat what may be recorded already. That
		// would take of the writes of which there are too few.
		if a, ok := s.repeated(ctx, ref, local); ok {
			return a
		}
	}
	return s.accept(ctx, job, body, v.cancelled, local)
}

// verdict is what can be said of a submission before it is recorded.
type verdict struct {
	refusal   Answer // none with status 0
	cancelled bool   // a job that it needs is cancelled, and it with that
	undecided bool   // another node may know more of the jobs that it waits for
}

// judge tells whether a job can be accepted.
func (s *Service) judge(ctx context.Context, job *wire.Job, local bool) (v verdict) {
	if v.refusal = s.judgeNeeds(job); v.refusal.Status != 0 {
		return v
	}
	v.refusal, v.cancelled = s.judgeAncestors(ctx, job, local)
	v.undecided = v.refusal.Status == http.StatusServiceUnavailable && s.Upgraded()
	return v
}

// refuse answers a submission that can't be accepted. A job accepted before stays
// accepted, whatever we would say now.
func (s *Service) refuse(ctx context.Context, ref string, body []byte, v verdict, local bool) Answer {
	rec, found, err := s.record(ctx, ref)
	switch {
	case err == nil && found:
		return s.known(ctx, ref, rec, local)
	case v.undecided, err != nil && v.refusal.Status != http.StatusServiceUnavailable:
		return s.elsewhere(ctx, Submit, ref, body, local, noState)
	}
	return v.refusal
}

// accept records a job and answers its submission. cancelled is set when a job that it
// needs is.
func (s *Service) accept(ctx context.Context, job *wire.Job, body []byte, cancelled, local bool) Answer {
	ref := job.ID
	rec := ledger.JobRecord{Job: job, AcceptedMS: time.Now().UnixMilli()}
	created, err := s.commits.create(ctx, ref, rec)
	if errors.Is(err, errFull) || errors.Is(err, kvstore.ErrOverloaded) {
		if a, ok := s.repeated(ctx, ref, local); ok {
			return a
		}
	}
	switch {
	case errors.Is(err, errLong):
		return problem(http.StatusBadRequest, "%s", err)
	case errors.Is(err, errFull):
		return busy
	case errors.Is(err, kvstore.ErrOverloaded):
		// Another node may have some of its share of the rate left.
		return s.elsewhere(ctx, Submit, ref, body, local, busy)
	case err != nil:
		s.log.Debug("submission not recorded", "job", ref, "error", err)
		return s.elsewhere(ctx, Submit, ref, body, local, noState)
	case created.known:
		rec, found, err := s.record(ctx, ref)
		if err != nil || !found {
			return s.elsewhere(ctx, Submit, ref, body, local, noState)
		}
		return s.known(ctx, ref, rec, local)
	}
	s.log.Debug("submission recorded", "job", ref, "class", job.Class, "tasks", job.Tasks)
	s.dispatcher.JobCreated(scheduler.JobRecordEvent{JobID: ref, Record: rec, Version: created.version})
	if cancelled {
		// From its first moment on: that follows from what is durable.
		return JSON(http.StatusCreated, wire.JobResponse{ID: ref, Status: wire.JobCancelled})
	}
	return JSON(http.StatusCreated, wire.JobResponse{ID: ref, Status: wire.JobQueued})
}

// repeated answers a submission if its job is recorded already.
func (s *Service) repeated(ctx context.Context, ref string, local bool) (Answer, bool) {
	// Not the dispatcher: what is new, as most is, it does not know, and it may be busy.
	rec, found, err := s.record(ctx, ref)
	if err != nil || !found {
		return Answer{}, false
	}
	return s.known(ctx, ref, rec, local), true
}

// known answers the repetition of an accepted job, whose record was read since
// the user asked.
func (s *Service) known(ctx context.Context, ref string, rec ledger.JobRecord, local bool) Answer {
	if rec.Origin != "" {
		return problem(http.StatusUnprocessableEntity, "a job of this name runs here for cell %s", rec.Origin)
	}
	if rec.Terminal == "" {
		if st, ok := s.fromLeader(ctx, ref, local); ok {
			return JSON(http.StatusOK, wire.JobResponse{ID: ref, Status: st.Status})
		}
	}
	status, err := s.recorded(ctx, &rec)
	if err != nil {
		return noState
	}
	return JSON(http.StatusOK, wire.JobResponse{ID: ref, Status: status})
}

// judgeNeeds tells why a job can never run, or that this can't be told yet. A zero
// answer is none.
func (s *Service) judgeNeeds(j *wire.Job) Answer {
	team, ok := s.teams[j.Team]
	if !ok {
		return problem(http.StatusUnprocessableEntity, "team %q is not known", j.Team)
	}
	if team.CPUsMax > 0 && j.CPUs > team.CPUsMax || team.GPUsMax > 0 && j.GPUs > team.GPUsMax {
		return problem(http.StatusUnprocessableEntity, "one task needs more than the limit of team %q", j.Team)
	}
	types, ok := s.types()
	if !ok {
		return later(http.StatusServiceUnavailable, 1, "the machine types are not known yet")
	}
	for _, t := range types {
		if j.CPUs <= t.CPUs && j.GPUs <= t.GPUs && j.MemGB <= t.MemGB && allowed(j, &t) {
			return Answer{}
		}
	}
	return problem(http.StatusUnprocessableEntity, "a task fits no machine type that the job allows")
}

func allowed(j *wire.Job, t *wire.MachineType) bool {
	if j.Types != nil && !slices.Contains(j.Types, t.Name) {
		return false
	}
	return j.Zone == nil || slices.Contains(t.Zones, *j.Zone)
}

// --- questions ---

// record reads a job's record from the state service.
func (s *Service) record(ctx context.Context, ref string) (rec ledger.JobRecord, found bool, err error) {
	e, found, err := s.store.Get(ctx, kvstore.PriorityRead, ledger.JobKey(ref))
	if err != nil || !found {
		return rec, false, err
	}
	rec, err = ledger.DecodeJob(ref, e.Value)
	if err != nil {
		s.log.Error("job record can't be read", "job", ref, "error", err)
	}
	return rec, true, err
}

var errNotHere = errors.New("not leading here")

// fromDispatcher asks this node's dispatcher, if it leads. The answer counts only
// while the term does, and not while the job's end is being written: a leader
// that is slow to learn of its own write would say "queued" of a job that
// another node has read as done.
func (s *Service) fromDispatcher(ctx context.Context, ref string) (wire.JobStatus, error) {
	v := s.elector.View()
	if !v.IsLeader(time.Now()) {
		return wire.JobStatus{}, errNotHere
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	st, err := s.dispatcher.Status(ctx, ref)
	if err == nil && !s.elector.IsLeader(v.Term) {
		err = errNotHere
	}
	return st, err
}

// fromLeader asks the leader about a job, this node or another one. Unless local,
// what another node can read itself counts as well.
func (s *Service) fromLeader(ctx context.Context, ref string, local bool) (st wire.JobStatus, ok bool) {
	if st, err := s.fromDispatcher(ctx, ref); err == nil {
		return st, true
	}
	v := s.elector.View()
	if local || v.Leader == "" || v.Leader == s.node {
		return st, false
	}
	a, err := s.ask(ctx, 700*time.Millisecond, v.Leader, Status, ref, nil)
	if err != nil || a.Status != http.StatusOK || json.Unmarshal(a.Body, &st) != nil {
		return st, false
	}
	return st, true
}

func (s *Service) status(ctx context.Context, ref string, local bool) Answer {
	if !wire.ValidJobID(ref) {
		return problem(http.StatusNotFound, "there is no such job")
	}
	if st, ok := s.fromLeader(ctx, ref, local); ok {
		return JSON(http.StatusOK, st)
	}
	if a, ok := s.servedElsewhere(ctx, Status, ref, nil, &local); ok {
		return a
	}
	st, found, err := s.fromRecords(ctx, ref)
	switch {
	case err != nil:
		return s.elsewhere(ctx, Status, ref, nil, local, noState)
	case !found:
		return problem(http.StatusNotFound, "there is no such job")
	}
	return JSON(http.StatusOK, st)
}

// --- cancellations ---

func (s *Service) cancel(ctx context.Context, ref string, local bool) Answer {
	if !wire.ValidJobID(ref) {
		return problem(http.StatusNotFound, "there is no such job")
	}
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	v := s.elector.View()
	if !v.IsLeader(time.Now()) {
		return s.cancelElsewhere(ctx, v.Leader, ref, local)
	}
	st, err := s.dispatcher.Cancel(ctx, ref)
	if errors.Is(err, dispatch.ErrJobUnknown) {
		if refusal := s.tellDispatcher(ctx, ref); refusal.Status != 0 {
			return refusal
		}
		st, err = s.dispatcher.Cancel(ctx, ref)
	}
	switch {
	case errors.Is(err, dispatch.ErrCellUnreachable):
		return later(http.StatusServiceUnavailable, 1, err.Error())
	case errors.Is(err, dispatch.ErrJobUnknown):
		return later(http.StatusServiceUnavailable, 1, "the job is not yet known to the leader")
	case err != nil:
		return later(http.StatusServiceUnavailable, 1, "the cancellation could not be recorded")
	}
	// The state that the dispatcher tells here is durable.
	s.log.Debug("cancellation answered", "job", ref, "status", st.Status, "term", v.Term)
	return JSON(http.StatusOK, wire.JobResponse{ID: ref, Status: st.Status})
}

// cancelElsewhere has the leader cancel a job. Without one, what is over already can
// still be told.
func (s *Service) cancelElsewhere(ctx context.Context, leader, ref string, local bool) Answer {
	if !local && leader != "" && leader != s.node {
		if a, err := s.ask(ctx, 4*time.Second, leader, Cancel, ref, nil); err == nil {
			return a
		}
	}
	switch st, found, err := s.fromRecords(ctx, ref); {
	case err == nil && !found:
		return problem(http.StatusNotFound, "there is no such job")
	case err == nil && st.Status != wire.JobQueued:
		s.log.Debug("cancellation answered by the job's record", "job", ref, "status", st.Status)
		return JSON(http.StatusOK, wire.JobResponse{ID: ref, Status: st.Status})
	}
	return later(http.StatusServiceUnavailable, 1, "no controller leads at the moment")
}

// tellDispatcher tells this node's dispatcher of a job that is so new that it has not
// seen it. A zero answer is no refusal.
func (s *Service) tellDispatcher(ctx context.Context, ref string) (refusal Answer) {
	e, found, err := s.store.Get(ctx, kvstore.PriorityRead, ledger.JobKey(ref))
	switch {
	case err != nil:
		return noState
	case !found:
		return problem(http.StatusNotFound, "there is no such job")
	}
	rec, err := ledger.DecodeJob(ref, e.Value)
	switch {
	case err != nil:
		s.log.Error("job record can't be read", "job", ref, "error", err)
		return problem(http.StatusInternalServerError, "the job's record can't be read")
	case rec.Origin != "":
		return problem(http.StatusNotFound, "there is no such job of this cell")
	}
	s.dispatcher.JobCreated(scheduler.JobRecordEvent{JobID: ref, Record: rec, Version: e.Version})
	return Answer{}
}

// --- other nodes ---

func (s *Service) ask(ctx context.Context, limit time.Duration, node string, k Kind, ref string, body []byte) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return s.peers.Ask(ctx, node, k, ref, body)
}

// servedElsewhere lets another node answer at once when the state service does not
// serve this one: behind a cut that swallows packets, finding that out anew takes
// seconds for each request. Where no other node answers either, this one has a try, and
// goes no further with it: local is set then.
func (s *Service) servedElsewhere(ctx context.Context, k Kind, ref string, body []byte, local *bool) (Answer, bool) {
	if *local || s.store.Serving() {
		return Answer{}, false
	}
	a := s.elsewhere(ctx, k, ref, body, false, Answer{})
	*local = true
	return a, a.Status != 0
}

// elsewhere lets another node answer what this one can't, as when the state
// service refuses this node alone.
func (s *Service) elsewhere(ctx context.Context, k Kind, ref string, body []byte, local bool, otherwise Answer) Answer {
	if local {
		return otherwise
	}
	names := s.peers.Names()
	if l := s.elector.View().Leader; l != s.node && slices.Contains(names, l) {
		// The leader first: it is the one that surely reached the service.
		names = append([]string{l}, names...)
	}
	asked := map[string]bool{}
	for _, n := range names {
		if asked[n] || ctx.Err() != nil {
			continue
		}
		asked[n] = true
		if a, err := s.ask(ctx, 800*time.Millisecond, n, k, ref, body); err == nil && a.Status < 500 && a.Status != http.StatusTooManyRequests {
			return a
		}
	}
	return otherwise
}
