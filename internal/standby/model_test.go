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

// The model: one state service, whose leader's key names a node, two nodes that follow it
// and may be elected, and a leader that writes. Pages are listed one at a time with changes
// between them, answers of the watch come late, twice or not at all, and old changes are
// forgotten. What a node decides on is compared with what the service held.

const keptChanges = 12

type modelStore struct {
	revision uint64
	entries  map[string]wire.Entry
	history  []wire.WatchEvent
	leader   string // "" while nobody's key is there
	term     uint64
}

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

// writeInTerm carries out a leader's write if its key is still there.
func (s *modelStore) writeInTerm(term uint64, key, value string) {
	if s.leader != "" && s.term == term {
		s.apply(key, value)
	}
}

// elect creates a node's key if there is none.
func (s *modelStore) elect(node string) bool {
	if s.leader != "" {
		return false
	}
	s.apply("leader", fmt.Sprintf("%q", node))
	s.leader, s.term = node, s.revision
	return true
}

func (s *modelStore) resign() {
	if s.leader != "" {
		s.leader = ""
		s.apply("leader", "")
	}
}

// watch answers a watch; ok is false when the revision is no longer kept.
func (s *modelStore) watch(from uint64) (n wire.WatchResponse, ok bool) {
	if kept := len(s.history) - keptChanges; kept > 0 && s.history[kept].Version > from+1 {
		return n, false
	}
	n.Revision = s.revision
	for _, e := range s.history {
		if e.Version > from {
			n.Events = append(n.Events, e)
		}
	}
	return n, true
}

// ledgerEntries are what a term decides on, as the service holds it.
func (s *modelStore) ledgerEntries() []wire.Entry {
	all := []wire.Entry{}
	for key, e := range s.entries {
		if key != "leader" && !strings.HasPrefix(key, "node/") {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(a, b wire.Entry) int { return strings.Compare(a.Key, b.Key) })
	return all
}

// modelController is a node with its replica.
type modelController struct {
	name    string
	replica *Replica
	gate    Gate
	// listing is what has been read so far of a listing, by prefix; nil: none is under way.
	listing                     []wire.Entry
	listedPrefixes              int
	firstRevision, lastRevision uint64
	// responses are those of the watch that are under way.
	responses []pendingResponse
}

// pendingResponse is an answer of the watch.
type pendingResponse struct {
	after    uint64
	response wire.WatchResponse
}

var modelPrefixes = []string{"fin/", "host/", "job/"}

func newModelController(name string) *modelController {
	return &modelController{name: name, replica: NewReplica(modelPrefixes, 1<<20)}
}

type standbyModel struct {
	store       *modelStore
	controllers []*modelController
	// delayedWrites are writes of leaders that are still under way.
	delayedWrites []func()
	now           time.Duration
}

func newStandbyModel() *standbyModel {
	return &standbyModel{store: &modelStore{entries: map[string]wire.Entry{}}, controllers: []*modelController{newModelController("a"), newModelController("b")}}
}

// listNextPrefix reads the next page of a listing, and ends it with the last.
func (w *standbyModel) listNextPrefix(n *modelController) {
	s := w.store
	if n.listedPrefixes == 0 {
		n.listing, n.firstRevision = nil, s.revision
	}
	prefix := modelPrefixes[n.listedPrefixes]
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			n.listing = append(n.listing, e)
		}
	}
	n.lastRevision = s.revision
	if n.listedPrefixes++; n.listedPrefixes < len(modelPrefixes) {
		return
	}
	n.listedPrefixes = 0
	n.gate = Gate{}
	if n.replica.Reset(n.listing, n.firstRevision, n.lastRevision) == nil {
		n.gate.ReplicaUpdated(false)
	}
}

// watch has the service answer a node's watch.
func (w *standbyModel) watch(n *modelController) {
	news, ok := w.store.watch(n.replica.Revision())
	if !ok {
		n.gate.Demote()
		return
	}
	n.responses = append(n.responses, pendingResponse{n.replica.Revision(), news})
}

// deliverResponse brings an answer to a node.
func (w *standbyModel) deliverResponse(n *modelController, c pendingResponse) {
	if n.gate.State() == Demoted || n.replica.Apply(c.after, c.response) != nil {
		return
	}
	n.gate.ReplicaUpdated(n.replica.Consistent())
}

// testingT is a test or a property.
type testingT interface {
	Fatalf(format string, args ...any)
}

// electAndPromote has a node be elected and, if its gate lets it, decide: what it sees then has to be
// just what the service holds, since nobody else has written for a term.
func (w *standbyModel) electAndPromote(t testingT, n *modelController) {
	if !w.store.elect(n.name) {
		return
	}
	term := w.store.term
	if n.gate.TermWon(term, w.now) != nil {
		return // it reads everything anew
	}
	if n.gate.MayDecide(term) {
		t.Fatalf("%s may decide before the service has shown that its view is complete", n.name)
	}
	after := n.replica.Revision()
	news, ok := w.store.watch(after)
	if !ok {
		n.gate.Demote()
		return
	}
	// An answer that was given before the term may arrive first.
	if len(n.responses) > 0 {
		w.confirmReplica(t, n, n.responses[0])
	}
	w.confirmReplica(t, n, pendingResponse{after, news})
	if !n.gate.MayDecide(term) {
		t.Fatalf("%s may not decide: %s", n.name, n.gate.UnmetCondition())
	}
	if got, want := n.replica.Entries(), w.store.ledgerEntries(); !reflect.DeepEqual(got, want) {
		t.Fatalf("%s decides on %v, the service holds %v", n.name, got, want)
	}
}

func (w *standbyModel) confirmReplica(t testingT, n *modelController, c pendingResponse) {
	if n.replica.Apply(c.after, c.response) != nil {
		return
	}
	n.gate.ReplicaConfirmed(n.replica.Revision(), n.replica.Consistent(), w.now)
	if n.gate.MayDecide(w.store.term) && n.replica.Revision() < w.store.term {
		t.Fatalf("%s may decide at revision %d in term %d", n.name, n.replica.Revision(), w.store.term)
	}
}

// TestStandbyModel plays random schedules of writes, late writes, elections, listings and
// changes that come late, twice or not at all. A node that may decide sees just what the
// service holds; every consistent replica is what the service held at its revision.
func TestStandbyModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newStandbyModel()
		held := map[uint64][]wire.Entry{}
		node := func(t *rapid.T) *modelController { return rapid.SampledFrom(w.controllers).Draw(t, "node") }
		write := func(t *rapid.T) func() {
			key := rapid.SampledFrom([]string{"job/1", "job/2", "job/3", "fin/1/0", "host/1/0", "node/a"}).Draw(t, "key")
			value := rapid.SampledFrom([]string{"", "1", "2", "3"}).Draw(t, "value")
			term := w.store.term
			return func() { w.store.writeInTerm(term, key, value) }
		}
		t.Repeat(map[string]func(*rapid.T){
			"":        func(*rapid.T) { held[w.store.revision] = w.store.ledgerEntries() },
			"write":   func(t *rapid.T) { write(t)() },
			"write 2": func(t *rapid.T) { write(t)() },
			"late":    func(t *rapid.T) { w.delayedWrites = append(w.delayedWrites, write(t)) },
			"arrives": func(t *rapid.T) {
				if len(w.delayedWrites) > 0 {
					w.delayedWrites[0]()
					w.delayedWrites = w.delayedWrites[1:]
				}
			},
			"list":   func(t *rapid.T) { w.listNextPrefix(node(t)) },
			"ask":    func(t *rapid.T) { w.watch(node(t)) },
			"resign": func(*rapid.T) { w.store.resign() },
			"win":    func(t *rapid.T) { w.electAndPromote(t, node(t)) },
			"hear": func(t *rapid.T) {
				n := node(t)
				if len(n.responses) == 0 {
					return
				}
				at := rapid.IntRange(0, len(n.responses)-1).Draw(t, "answer")
				w.deliverResponse(n, n.responses[at])
				if rapid.Bool().Draw(t, "once") {
					n.responses = slices.Delete(n.responses, at, at+1)
				}
				if n.gate.State() == Following {
					compareReplica(t, n, held)
				}
			},
		})
	})
}

// compareReplica compares a consistent replica with what the service held at its revision.
func compareReplica(t testingT, n *modelController, held map[uint64][]wire.Entry) {
	want, ok := held[n.replica.Revision()]
	if !ok {
		return // between two steps of the test
	}

	if got := n.replica.Entries(); !reflect.DeepEqual(got, want) {
		t.Fatalf("%s has %v at revision %d, the service had %v", n.name, got, n.replica.Revision(), want)
	}
}
