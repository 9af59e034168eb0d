package ledger

import (
	"reflect"
	"testing"
)

func TestTransactionsRespectLimits(t *testing.T) {
	l := newTestLedger(nil, Limits{MaxChanges: 3, TransactionBytes: 1000})
	err := l.enqueue([]Write{{Key: "a", Value: 1}, {Key: "b", Value: 1}, {Key: "a", Value: 2}, {Key: "c", Value: 1, Urgent: true}, {Key: "d", Value: 1}})
	if err != nil {
		t.Fatal(err)
	}
	first := l.nextTransaction()
	if !reflect.DeepEqual(keysOf(first.writes), []string{"c", "a", "b"}) || string(first.writes[1].value) != "2" || len(first.request.Conditions) != 5 {
		t.Errorf("transaction of %v, value of a %s, %d conditions; want keys c, a, b, value 2 and 5 conditions", keysOf(first.writes), first.writes[1].value, len(first.request.Conditions))
	}
	if second := l.nextTransaction(); !reflect.DeepEqual(keysOf(second.writes), []string{"d"}) {
		t.Errorf("second transaction of %v, want d only", keysOf(second.writes))
	}
}

// TestUnknownOutcomeMovesFence checks that the transaction after one of unknown outcome changes the
// fence, once, and that the new version of the fence is a condition of all later transactions.
func TestUnknownOutcomeMovesFence(t *testing.T) {
	b := transactionBuilder{term: testTerm, versions: map[string]uint64{fenceKey: 3}, outcomeUnknown: true}
	if got := b.maxWrites(testLimits); got != testLimits.MaxChanges-1 {
		t.Errorf("at most %d writes, want one less than %d", got, testLimits.MaxChanges)
	}
	moving := b.build([]*pendingWrite{{key: "a", value: []byte("1")}, {key: "b"}})
	if !moving.movesFence || moving.request.Changes[0].Set != fenceKey || len(moving.request.Changes) != 3 {
		t.Errorf("the fence is not changed, or other changes are missing: %+v", moving.request)
	}
	b.recordCommit(moving, 8)
	next := b.build(nil)
	if next.movesFence || len(next.request.Changes) > 0 || next.request.Conditions[1].Version != 8 {
		t.Errorf("the fence is changed again, or its new version is not a condition: %+v", next.request)
	}
	if b.versions["a"] != 8 || b.versions["b"] != 0 {
		t.Errorf("versions %v, want 8 for a and none for b", b.versions)
	}
}

// TestCallerVersionOnlyForUnknownKeys checks that the version that a caller saw is used only for a
// key that the ledger has neither read nor written.
func TestCallerVersionOnlyForUnknownKeys(t *testing.T) {
	b := transactionBuilder{versions: map[string]uint64{"known": 4}}
	b.setVersionIfUnknown("known", 2)
	b.setVersionIfUnknown("new", 2)
	b.setVersionIfUnknown("unseen", 0)
	if !reflect.DeepEqual(b.versions, map[string]uint64{"known": 4, "new": 2}) {
		t.Errorf("versions %v, want 4 for known, 2 for new and none for unseen", b.versions)
	}
}

// TestDeletionMovesFence guards against a deleted key that a repeated transaction restores: the copy of the
// one that created it finds its other conditions met.
func TestDeletionMovesFence(t *testing.T) {
	b := transactionBuilder{term: testTerm, versions: map[string]uint64{fenceKey: 3}}
	creation := b.build([]*pendingWrite{{key: "a", value: []byte("1")}})
	b.recordCommit(creation, 8)
	deletion := b.build([]*pendingWrite{{key: "a"}})
	if creation.movesFence || !deletion.movesFence {
		t.Errorf("the creation moves the fence: %t, the deletion: %t, want false, true", creation.movesFence, deletion.movesFence)
	}
	b.recordCommit(deletion, 9)
	if b.versions[fenceKey] != 9 || b.versions["a"] != 0 {
		t.Errorf("versions %v, want 9 for the fence and none for a", b.versions)
	}
}

// TestDeletionsLeaveRoomForTheFence checks that a batch with deletions has one write less.
func TestDeletionsLeaveRoomForTheFence(t *testing.T) {
	for _, test := range []struct {
		name   string
		writes []Write
		want   int
	}{
		{"no deletion", []Write{{Key: "a", Value: 1}, {Key: "b", Value: 1}, {Key: "c", Value: 1}}, 3},
		{"a deletion first", []Write{{Key: "a"}, {Key: "b", Value: 1}, {Key: "c", Value: 1}}, 2},
		{"a deletion last", []Write{{Key: "a", Value: 1}, {Key: "b", Value: 1}, {Key: "c"}}, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := newTestLedger(nil, Limits{MaxChanges: 3, TransactionBytes: 1000})
			if err := l.enqueue(test.writes); err != nil {
				t.Fatal(err)
			}
			first := l.nextTransaction()
			if len(first.writes) != test.want || len(first.request.Changes) > 3 {
				t.Errorf("%d writes and %d changes, want %d and at most 3", len(first.writes), len(first.request.Changes), test.want)
			}
		})
	}
}
