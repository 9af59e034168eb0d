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

type modelService struct {
	revision uint64
	keys     map[string]wire.Entry
	history  []wire.WatchEvent
	leader   string // "" while nobody's key is there
	term     uint64
}

func (s *modelService) apply(key, value string) {
	s.revision++
	if value == "" {
		delete(s.keys, key)
		s.history = append(s.history, wire.WatchEvent{Delete: key, Version: s.revision})
		return
	}
	e := wire.Entry{Key: key, Value: json.RawMessage(value), Version: s.revision}
	s.keys[key] = e
	s.history = append(s.history, wire.WatchEvent{Set: key, Value: e.Value, Version: s.revision})
}

// write carries out a leader's write if its key is still there.
func (s *modelService) write(term uint64, key, value string) {
	if s.leader != "" && s.term == term {
		s.apply(key, value)
	}
}

// elect creates a node's key if there is none.
func (s *modelService) elect(node string) bool {
	if s.leader != "" {
		return false
	}
	s.apply("leader", fmt.Sprintf("%q", node))
	s.leader, s.term = node, s.revision
	return true
}

func (s *modelService) resign() {
	if s.leader != "" {
		s.leader = ""
		s.apply("leader", "")
	}
}

// changes answers a watch; ok is false when the revision is no longer kept.
func (s *modelService) changes(from uint64) (n wire.WatchResponse, ok bool) {
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

// ledgerKeys are what a term decides on, as the service holds it.
func (s *modelService) ledgerKeys() []wire.Entry {
	all := []wire.Entry{}
	for key, e := range s.keys {
		if key != "leader" && !strings.HasPrefix(key, "node/") {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(a, b wire.Entry) int { return strings.Compare(a.Key, b.Key) })
	return all
}

// modelNode is a node with its replica.
type modelNode struct {
	name    string
	replica *Replica
	gate    Gate
	// listing is what has been read so far of a listing, by prefix; nil: none is under way.
	listing      []wire.Entry
	listed       int
	began, ended uint64
	// answers are those of the watch that are under way.
	answers []changes
}

// changes is an answer of the watch.
type changes struct {
	after uint64
	news  wire.WatchResponse
}

var modelPrefixes = []string{"fin/", "host/", "job/"}

func newModelNode(name string) *modelNode {
	return &modelNode{name: name, replica: NewReplica(modelPrefixes, 1<<20)}
}

type standbyWorld struct {
	service *modelService
	nodes   []*modelNode
	// late are writes of leaders that are still under way.
	late []func()
	now  time.Duration
}

func newStandbyWorld() *standbyWorld {
	return &standbyWorld{service: &modelService{keys: map[string]wire.Entry{}}, nodes: []*modelNode{newModelNode("a"), newModelNode("b")}}
}

// list reads the next page of a listing, and ends it with the last.
func (w *standbyWorld) list(n *modelNode) {
	s := w.service
	if n.listed == 0 {
		n.listing, n.began = nil, s.revision
	}
	prefix := modelPrefixes[n.listed]
	for key, e := range s.keys {
		if strings.HasPrefix(key, prefix) {
			n.listing = append(n.listing, e)
		}
	}
	n.ended = s.revision
	if n.listed++; n.listed < len(modelPrefixes) {
		return
	}
	n.listed = 0
	n.gate = Gate{}
	if n.replica.Reset(n.listing, n.began, n.ended) == nil {
		n.gate.ReplicaUpdated(false)
	}
}

// ask has the service answer a node's watch.
func (w *standbyWorld) ask(n *modelNode) {
	news, ok := w.service.changes(n.replica.Revision())
	if !ok {
		n.gate.Demote()
		return
	}
	n.answers = append(n.answers, changes{n.replica.Revision(), news})
}

// hear brings an answer to a node.
func (w *standbyWorld) hear(n *modelNode, c changes) {
	if n.gate.State() == Demoted || n.replica.Apply(c.after, c.news) != nil {
		return
	}
	n.gate.ReplicaUpdated(n.replica.Consistent())
}

// failer is a test or a property.
type failer interface {
	Fatalf(format string, args ...any)
}

// win has a node be elected and, if its gate lets it, decide: what it sees then has to be
// just what the service holds, since nobody else has written for a term.
func (w *standbyWorld) win(t failer, n *modelNode) {
	if !w.service.elect(n.name) {
		return
	}
	term := w.service.term
	if n.gate.TermWon(term, w.now) != nil {
		return // it reads everything anew
	}
	if n.gate.MayDecide(term) {
		t.Fatalf("%s may decide before the service has shown that its view is complete", n.name)
	}
	after := n.replica.Revision()
	news, ok := w.service.changes(after)
	if !ok {
		n.gate.Demote()
		return
	}
	// An answer that was given before the term may arrive first.
	if len(n.answers) > 0 {
		w.confirm(t, n, n.answers[0])
	}
	w.confirm(t, n, changes{after, news})
	if !n.gate.MayDecide(term) {
		t.Fatalf("%s may not decide: %s", n.name, n.gate.UnmetCondition())
	}
	if got, want := n.replica.Entries(), w.service.ledgerKeys(); !reflect.DeepEqual(got, want) {
		t.Fatalf("%s decides on %v, the service holds %v", n.name, got, want)
	}
}

func (w *standbyWorld) confirm(t failer, n *modelNode, c changes) {
	if n.replica.Apply(c.after, c.news) != nil {
		return
	}
	n.gate.ReplicaConfirmed(n.replica.Revision(), n.replica.Consistent(), w.now)
	if n.gate.MayDecide(w.service.term) && n.replica.Revision() < w.service.term {
		t.Fatalf("%s may decide at revision %d in term %d", n.name, n.replica.Revision(), w.service.term)
	}
}

// TestStandbyModel plays random schedules of writes, late writes, elections, listings and
// changes that come late, twice or not at all. A node that may decide sees just what the
// service holds; every consistent replica is what the service held at its revision.
func TestStandbyModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newStandbyWorld()
		held := map[uint64][]wire.Entry{}
		node := func(t *rapid.T) *modelNode { return rapid.SampledFrom(w.nodes).Draw(t, "node") }
		write := func(t *rapid.T) func() {
			key := rapid.SampledFrom([]string{"job/1", "job/2", "job/3", "fin/1/0", "host/1/0", "node/a"}).Draw(t, "key")
			value := rapid.SampledFrom([]string{"", "1", "2", "3"}).Draw(t, "value")
			term := w.service.term
			return func() { w.service.write(term, key, value) }
		}
		t.Repeat(map[string]func(*rapid.T){
			"":        func(*rapid.T) { held[w.service.revision] = w.service.ledgerKeys() },
			"write":   func(t *rapid.T) { write(t)() },
			"write 2": func(t *rapid.T) { write(t)() },
			"late":    func(t *rapid.T) { w.late = append(w.late, write(t)) },
			"arrives": func(t *rapid.T) {
				if len(w.late) > 0 {
					w.late[0]()
					w.late = w.late[1:]
				}
			},
			"list":   func(t *rapid.T) { w.list(node(t)) },
			"ask":    func(t *rapid.T) { w.ask(node(t)) },
			"resign": func(*rapid.T) { w.service.resign() },
			"win":    func(t *rapid.T) { w.win(t, node(t)) },
			"hear": func(t *rapid.T) {
				n := node(t)
				if len(n.answers) == 0 {
					return
				}
				at := rapid.IntRange(0, len(n.answers)-1).Draw(t, "answer")
				w.hear(n, n.answers[at])
				if rapid.Bool().Draw(t, "once") {
					n.answers = slices.Delete(n.answers, at, at+1)
				}
				if n.gate.State() == Following {
					compareReplica(t, n, held)
				}
			},
		})
	})
}

// compareReplica compares a consistent replica with what the service held at its revision.
func compareReplica(t failer, n *modelNode, held map[uint64][]wire.Entry) {
	want, ok := held[n.replica.Revision()]
	if !ok {
		return // between two steps of the test
	}

	if got := n.replica.Entries(); !reflect.DeepEqual(got, want) {
		t.Fatalf("%s has %v at revision %d, the service had %v", n.name, got, n.replica.Revision(), want)
	}
}
