package standby

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"leadproxy/internal/wire"
)

// The model has one key-value store, whose leader key names a controller, two controllers that
// follow it and may be elected, and a leader that writes. Prefixes are listed one at a time with
// changes in between, responses to watches are delivered late, twice or not at all, and old changes
// are compacted. The entries that a controller decides on are compared with those of the store.

// keptChanges is the number of latest changes that the store keeps; older ones are compacted.
const keptChanges = 12

// modelStore is a key-value store with one leader key.
type modelStore struct {
	revision uint64
	entries  map[string]wire.Entry
	history  []wire.WatchEvent
	leader   string // the controller that holds the leader key; "": none
	term     uint64 // the revision at which the leader key was last created
}

// apply sets a key, or deletes it if the value is "".
func (s *modelStore) apply(key, value string) {
	s.revision++
	if value == "" {
		delete(s.entries, key)
		s.history = append(s.history, wire.WatchEvent{Delete: key, Version: s.revision})
		return
	}
	e := wire.Entry{Key: key, Value: json.RawMessage(value), Version: s.revision}
	s.entries[key] = e
	s.history = append(s.history, wire.WatchEvent{Set: key, Value: e.Value, Version: s.revision})
}

// writeInTerm applies a leader's write if its term has not ended.
func (s *modelStore) writeInTerm(term uint64, key, value string) {
	if s.leader != "" && s.term == term {
		s.apply(key, value)
	}
}

// elect creates the leader key for a controller and reports whether there was none.
func (s *modelStore) elect(controller string) bool {
	if s.leader != "" {
		return false
	}
	s.apply("leader", fmt.Sprintf("%q", controller))
	s.leader, s.term = controller, s.revision
	return true
}

// resign deletes the leader key, if there is one.
func (s *modelStore) resign() {
	if s.leader != "" {
		s.leader = ""
		s.apply("leader", "")
	}
}

// watch responds to a watch for the changes after a revision; ok is false when they are compacted.
func (s *modelStore) watch(after uint64) (response wire.WatchResponse, ok bool) {
	if kept := len(s.history) - keptChanges; kept > 0 && s.history[kept].Version > after+1 {
		return response, false
	}
	response.Revision = s.revision
	for _, e := range s.history {
		if e.Version > after {
			response.Events = append(response.Events, e)
		}
	}
	return response, true
}

// ledgerEntries returns the store's entries that a term decides on, ordered by key.
func (s *modelStore) ledgerEntries() []wire.Entry {
	entries := []wire.Entry{}
	for key, e := range s.entries {
		if key != "leader" && !strings.HasPrefix(key, "node/") {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(a, b wire.Entry) int { return strings.Compare(a.Key, b.Key) })
	return entries
}

// modelController is a controller with its replica and gate.
type modelController struct {
	name    string
	replica *Replica
	gate    Gate
	// listing holds the entries under the first listedPrefixes prefixes, read from firstRevision to
	// lastRevision. With 0 prefixes no listing is in progress.
	listing                     []wire.Entry
	listedPrefixes              int
	firstRevision, lastRevision uint64
	// responses are those to watches that may still be delivered.
	responses []pendingResponse
}

// pendingResponse is the response to a watch for the changes after a revision.
type pendingResponse struct {
	after    uint64
	response wire.WatchResponse
}

// modelPrefixes are the prefixes that followers follow in tests.
var modelPrefixes = []string{"fin/", "host/", "job/"}

func newModelController(name string) *modelController {
	return &modelController{name: name, replica: NewReplica(modelPrefixes, 1<<20)}
}

// standbyModel is a store with the controllers that follow it.
type standbyModel struct {
	store       *modelStore
	controllers []*modelController
	// delayedWrites are leaders' writes that have not reached the store, oldest first.
	delayedWrites []func()
	now           time.Duration
}

func newStandbyModel() *standbyModel {
	return &standbyModel{store: &modelStore{entries: map[string]wire.Entry{}}, controllers: []*modelController{newModelController("a"), newModelController("b")}}
}

// listNextPrefix has a controller list its next prefix, and reset its replica after the last one.
func (m *standbyModel) listNextPrefix(c *modelController) {
	s := m.store
	if c.listedPrefixes == 0 {
		c.listing, c.firstRevision = nil, s.revision
	}
	prefix := modelPrefixes[c.listedPrefixes]
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			c.listing = append(c.listing, e)
		}
	}
	c.lastRevision = s.revision
	if c.listedPrefixes++; c.listedPrefixes < len(modelPrefixes) {
		return
	}
	c.listedPrefixes = 0
	c.gate = Gate{}
	if c.replica.Reset(c.listing, c.firstRevision, c.lastRevision) == nil {
		c.gate.ReplicaUpdated(false)
	}
}

// watch has the store respond to a controller's watch. The response is not delivered yet.
func (m *standbyModel) watch(c *modelController) {
	response, ok := m.store.watch(c.replica.Revision())
	if !ok {
		c.gate.Demote()
		return
	}
	c.responses = append(c.responses, pendingResponse{c.replica.Revision(), response})
}

// deliverResponse has a controller apply the response to a watch.
func (m *standbyModel) deliverResponse(c *modelController, pending pendingResponse) {
	if c.gate.State() == Demoted || c.replica.Apply(pending.after, pending.response) != nil {
		return
	}
	c.gate.ReplicaUpdated(c.replica.Consistent())
}

// testingT is the part of *testing.T and *rapid.T that the model uses.
type testingT interface {
	Fatalf(format string, args ...any)
}

// electAndPromote elects a controller, if there is no leader, and has it confirm its replica. If
// its gate then lets it decide, its replica must equal the store, because no earlier leader can
// write any more.
func (m *standbyModel) electAndPromote(t testingT, c *modelController) {
	if !m.store.elect(c.name) {
		return
	}
	term := m.store.term
	if c.gate.TermWon(term, m.now) != nil {
		return // the term reads the whole ledger
	}
	if c.gate.MayDecide(term) {
		t.Fatalf("%s may decide before a response of the store has confirmed that its replica is complete", c.name)
	}
	after := c.replica.Revision()
	response, ok := m.store.watch(after)
	if !ok {
		c.gate.Demote()
		return
	}
	// A response from before the term may be delivered first.
	if len(c.responses) > 0 {
		m.confirmReplica(t, c, c.responses[0])
	}
	m.confirmReplica(t, c, pendingResponse{after, response})
	if !c.gate.MayDecide(term) {
		t.Fatalf("%s may not decide although its replica is complete: %s", c.name, c.gate.UnmetCondition())
	}
	if got, want := c.replica.Entries(), m.store.ledgerEntries(); !reflect.DeepEqual(got, want) {
		t.Fatalf("%s decides on entries %v, the store has %v", c.name, got, want)
	}
}

// confirmReplica has a new leader apply a response. Its gate must not let it decide on a replica
// that is older than its term.
func (m *standbyModel) confirmReplica(t testingT, c *modelController, pending pendingResponse) {
	if c.replica.Apply(pending.after, pending.response) != nil {
		return
	}
	c.gate.ReplicaConfirmed(c.replica.Revision(), c.replica.Consistent(), m.now)
	if c.gate.MayDecide(m.store.term) && c.replica.Revision() < m.store.term {
		t.Fatalf("%s may decide at revision %d in term %d", c.name, c.replica.Revision(), m.store.term)
	}
}

// TestStandbyModel runs random histories of writes, delayed writes, elections, listings and watch
// responses that are delivered late, twice or not at all. The replica of a controller that may
// decide must equal the store, and each consistent replica must equal the store as of its revision.
// Otherwise a new leader would decide on a ledger that lacks writes of earlier terms.
func TestStandbyModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStandbyModel()
		entriesAt := map[uint64][]wire.Entry{}
		drawController := func(t *rapid.T) *modelController { return rapid.SampledFrom(m.controllers).Draw(t, "controller") }
		drawWrite := func(t *rapid.T) func() {
			key := rapid.SampledFrom([]string{"job/1", "job/2", "job/3", "fin/1/0", "host/1/0", "node/a"}).Draw(t, "key")
			value := rapid.SampledFrom([]string{"", "1", "2", "3"}).Draw(t, "value")
			term := m.store.term
			return func() { m.store.writeInTerm(term, key, value) }
		}
		// The keys keep their spelling: rapid draws actions in the sorted order of the keys, and with
		// another order the same number of checks finds fewer of the mutants.
		t.Repeat(map[string]func(*rapid.T){
			"":        func(*rapid.T) { entriesAt[m.store.revision] = m.store.ledgerEntries() },
			"write":   func(t *rapid.T) { drawWrite(t)() },
			"write 2": func(t *rapid.T) { drawWrite(t)() },
			"late":    func(t *rapid.T) { m.delayedWrites = append(m.delayedWrites, drawWrite(t)) },
			"arrives": func(t *rapid.T) {
				if len(m.delayedWrites) > 0 {
					m.delayedWrites[0]()
					m.delayedWrites = m.delayedWrites[1:]
				}
			},
			"list":   func(t *rapid.T) { m.listNextPrefix(drawController(t)) },
			"ask":    func(t *rapid.T) { m.watch(drawController(t)) },
			"resign": func(*rapid.T) { m.store.resign() },
			"win":    func(t *rapid.T) { m.electAndPromote(t, drawController(t)) },
			"hear": func(t *rapid.T) {
				c := drawController(t)
				if len(c.responses) == 0 {
					return
				}
				index := rapid.IntRange(0, len(c.responses)-1).Draw(t, "response")
				m.deliverResponse(c, c.responses[index])
				if rapid.Bool().Draw(t, "last delivery") {
					c.responses = slices.Delete(c.responses, index, index+1)
				}
				if c.gate.State() == Following {
					compareReplica(t, c, entriesAt)
				}
			},
		})
	})
}

// compareReplica compares a consistent replica with the store's entries as of its revision.
func compareReplica(t testingT, c *modelController, entriesAt map[uint64][]wire.Entry) {
	want, ok := entriesAt[c.replica.Revision()]
	if !ok {
		return // a revision within a step, of which entriesAt has no copy
	}
	if got := c.replica.Entries(); !reflect.DeepEqual(got, want) {
		t.Fatalf("%s has entries %v at revision %d, the store had %v", c.name, got, c.replica.Revision(), want)
	}
}
