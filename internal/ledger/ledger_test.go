package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"leadproxy/internal/election"
	"leadproxy/internal/kvstore"
	"leadproxy/internal/wire"
)

// numberTag tags a write of a test.
type numberTag int

// IsTag marks it.
func (numberTag) IsTag() {}

func fixed(l Limits) func() Limits { return func() Limits { return l } }

func TestRanges(t *testing.T) {
	cases := []struct {
		done string
		want Ranges
	}{
		{"", nil}, {"....", nil}, {"x", Ranges{0, 0}}, {"xxxx", Ranges{0, 3}},
		{".xx.x", Ranges{1, 2, 4, 4}}, {"x.x.x", Ranges{0, 0, 2, 2, 4, 4}},
	}
	for _, c := range cases {
		got := EncodeRanges(func(i int) bool { return c.done[i] == 'x' }, len(c.done))
		if !reflect.DeepEqual(got, c.want) {
			t.Errorf("%q gives %v, want %v", c.done, got, c.want)
		}
		back := []byte(c.done)
		for i := range back {
			back[i] = '.'
		}
		got.Each(func(i int) { back[i] = 'x' })
		if string(back) != c.done {
			t.Errorf("%v gives back %q, want %q", got, back, c.done)
		}
	}
	// The worst chunk must stay below the least value limit of 16 KiB.
	worst, err := json.Marshal(EncodeRanges(func(i int) bool { return i%2 == 0 }, TasksPerChunk))
	if err != nil || len(worst) > 12<<10 {
		t.Errorf("the worst chunk takes %d bytes", len(worst))
	}
}

// fakeStore is a state service whose transactions can be lost on either way or
// come late.
type fakeStore struct {
	revision uint64
	keys     map[string]uint64
	values   map[string]string
	// outcomes of the coming transactions, one letter each: c carried out, l lost
	// before, r its answer lost, h held back and carried out by release.
	steps string
	held  []wire.CompareAndSwap
	// turn, unless nil, is held by whoever looks at or changes the rest.
	turn chan struct{}
	// rejects is a key that the service finds malformed.
	rejects string
}

// take waits for the turn; the result gives it back.
func (f *fakeStore) take() func() {
	if f.turn == nil {
		return func() {}
	}
	f.turn <- struct{}{}
	return func() { <-f.turn }
}

func (f *fakeStore) Get(_ context.Context, _ kvstore.Priority, key string) (wire.Entry, bool, error) {
	v, ok := f.keys[key]
	return wire.Entry{Key: key, Version: v}, ok, nil
}

func (f *fakeStore) List(context.Context, kvstore.Priority, string, string, int) (wire.EntryPage, error) {
	return wire.EntryPage{Revision: f.revision}, nil
}

func (f *fakeStore) CompareAndSwap(_ context.Context, _ kvstore.Priority, t wire.CompareAndSwap) (bool, wire.CompareAndSwapResponse, error) {
	defer f.take()()
	step := byte('c')
	if f.steps != "" {
		step, f.steps = f.steps[0], f.steps[1:]
	}
	switch step {
	case 'l':
		return false, wire.CompareAndSwapResponse{}, kvstore.ErrUnknownOutcome
	case 'b':
		return false, wire.CompareAndSwapResponse{}, kvstore.ErrInvalidRequest
	case 'z':
		return false, wire.CompareAndSwapResponse{}, kvstore.ErrLimitsLowered
	case 'h':
		f.held = append(f.held, t)
		return false, wire.CompareAndSwapResponse{}, kvstore.ErrUnknownOutcome
	}
	for _, c := range t.Changes {
		if f.rejects != "" && c.Set == f.rejects {
			return false, wire.CompareAndSwapResponse{}, kvstore.ErrInvalidRequest
		}
	}
	ok, a := f.apply(t)
	if step == 'r' {
		return false, wire.CompareAndSwapResponse{}, kvstore.ErrUnknownOutcome
	}
	return ok, a, nil
}

func (f *fakeStore) apply(t wire.CompareAndSwap) (bool, wire.CompareAndSwapResponse) {
	var failed []string
	for _, c := range t.Conditions {
		if f.keys[c.Key] != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		return false, wire.CompareAndSwapResponse{FailedKeys: failed}
	}
	f.revision++
	for _, c := range t.Changes {
		if c.Delete != "" {
			delete(f.keys, c.Delete)
			delete(f.values, c.Delete)
			continue
		}
		f.keys[c.Set], f.values[c.Set] = f.revision, string(c.Value)
	}
	return true, wire.CompareAndSwapResponse{Revision: f.revision}
}

func TestWritesThroughLossAndDelay(t *testing.T) {
	for _, steps := range []string{"c", "lc", "rc", "hc", "lrhc", "hhrlc"} {
		t.Run(steps, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeStore{revision: 9, keys: map[string]uint64{election.LeaderKey: 5, "job/j": 3}, values: map[string]string{}, steps: steps}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				l := New(5, f, fixed(Limits{MaxChanges: 4, TransactionBytes: 1 << 14}), slog.New(slog.NewTextHandler(io.Discard, nil)))
				go func() { _ = l.Run(ctx) }()
				l.Put(ctx, []Write{{Key: "job/j", Value: "old", Version: 3, Tag: numberTag(1)}})
				if tags := <-l.Durable; !reflect.DeepEqual(tags, []Tag{numberTag(1)}) {
					t.Errorf("durable: %v", tags)
				}
				l.Put(ctx, []Write{{Key: "job/j", Value: "new", Tag: numberTag(2)}})
				<-l.Durable
				// A copy that comes now must not bring the old value back.
				for _, txn := range f.held {
					f.apply(txn)
				}
				if f.values["job/j"] != `"new"` {
					t.Errorf("the key holds %s", f.values["job/j"])
				}
				// Once another leader's key stands, nothing is written.
				f.keys[election.LeaderKey] = 77
				l.Put(ctx, []Write{{Key: "job/j", Value: "late", Tag: numberTag(3)}})
				synctest.Wait()
				if f.values["job/j"] != `"new"` {
					t.Errorf("written after the term: %s", f.values["job/j"])
				}
			})
		})
	}
}

// TestLateCopyBringsNothingBack: a transaction that created a key had no answer,
// was repeated, and the key has since been deleted. A copy that is carried out now
// would find it missing, as it was, and bring back hosts or a hire that are long
// settled.
func TestLateCopyBringsNothingBack(t *testing.T) {
	for _, steps := range []string{"hc", "hhc", "hlrc", "rhc"} {
		t.Run(steps, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeStore{revision: 9, keys: map[string]uint64{election.LeaderKey: 5}, values: map[string]string{}, steps: steps}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				l := New(5, f, fixed(Limits{MaxChanges: 4, TransactionBytes: 1 << 14}), slog.New(slog.NewTextHandler(io.Discard, nil)))
				if _, err := l.Load(ctx); err != nil {
					t.Fatal(err)
				}
				go func() { _ = l.Run(ctx) }()
				for _, value := range []any{"hosts", nil} {
					l.Put(ctx, []Write{{Key: "host/j/0", Value: value, Tag: numberTag(1)}})
					<-l.Durable
				}
				for _, txn := range f.held {
					f.apply(txn)
				}
				if v, ok := f.values["host/j/0"]; ok {
					t.Errorf("the key is back and holds %s", v)
				}
				// The fence stands in nobody's way.
				l.Put(ctx, []Write{{Key: "host/k/0", Value: "hosts", Tag: numberTag(2)}})
				<-l.Durable
			})
		})
	}
}

// TestValuesThatAreTooLarge: when the limits fall, what is too large by now is given
// back to be written in smaller pieces, and holds up nothing else.
func TestValuesThatAreTooLarge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{keys: map[string]uint64{election.LeaderKey: 5}, values: map[string]string{}, steps: "z"}
		bounds := make(chan Limits, 1)
		bounds <- Limits{MaxChanges: 9, TransactionBytes: 1 << 14, ValueBytes: 100}
		l := New(5, f, func() Limits {
			b := <-bounds
			defer func() { bounds <- b }()
			return b
		}, slog.New(slog.NewTextHandler(io.Discard, nil)))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = l.Run(ctx) }()
		l.Put(ctx, []Write{{Key: "a", Value: "small", Tag: numberTag(1)}, {Key: "b", Value: strings.Repeat("x", 50), Tag: numberTag(2)}, {Key: "c", Value: "small", Tag: numberTag(3)}})
		synctest.Wait()
		<-bounds
		bounds <- Limits{MaxChanges: 1, TransactionBytes: 1 << 14, ValueBytes: 20}
		if tags := <-l.Rejected; !reflect.DeepEqual(tags, []Tag{numberTag(2)}) {
			t.Errorf("given back: %v", tags)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if len(f.values) != 2 || f.values["b"] != "" {
			t.Errorf("written: %v", f.values)
		}
	})
}

// TestRejectedWriteHoldsUpNoOther: one of several writes is malformed to the service.
func TestRejectedWriteHoldsUpNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{keys: map[string]uint64{election.LeaderKey: 5}, values: map[string]string{}, steps: "b"}
		f.rejects = "b"
		l := New(5, f, fixed(Limits{MaxChanges: 9, TransactionBytes: 1 << 14}), slog.New(slog.NewTextHandler(io.Discard, nil)))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = l.Run(ctx) }()
		l.Put(ctx, []Write{{Key: "a", Value: 1, Urgent: true}, {Key: "b", Value: 2, Urgent: true}, {Key: "c", Value: 3}})
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if f.values["a"] != "1" || f.values["c"] != "3" {
			t.Errorf("written: %v", f.values)
		}
		cancel()
	})
}

func TestDeposedLedgerEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{keys: map[string]uint64{election.LeaderKey: 6}, values: map[string]string{}}
		l := New(5, f, fixed(Limits{MaxChanges: 4, TransactionBytes: 1 << 14}), slog.New(slog.NewTextHandler(io.Discard, nil)))
		go l.Put(t.Context(), []Write{{Key: "a", Value: 1}})
		if err := l.Run(t.Context()); !errors.Is(err, ErrLeadershipLost) {
			t.Errorf("ended with %v", err)
		}
	})
}

// TestOrdinaryWritesLeaveRoomForUrgentOnes: while finished tasks are written
// down without end, an urgent write goes at once and the service's rate is not
// used up.
func TestOrdinaryWritesLeaveRoomForUrgentOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeStore{keys: map[string]uint64{election.LeaderKey: 5}, values: map[string]string{}, turn: make(chan struct{}, 1)}
		written := func() (all int, urgent bool) {
			defer f.take()()
			return len(f.values), f.values["job/j"] != ""
		}
		l := New(5, f, fixed(Limits{MaxChanges: 40, TransactionBytes: 1 << 14, DeferrableRate: 10}), slog.New(slog.NewTextHandler(io.Discard, nil)))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = l.Run(ctx) }()
		go func() {
			for {
				select {
				case <-l.Durable:
				case <-ctx.Done():
					return
				}
			}
		}()
		began := time.Now()
		for i := range 200 {
			l.Put(ctx, []Write{{Key: fmt.Sprintf("fin/%d", i), Value: i}})
		}
		l.Put(ctx, []Write{{Key: "job/j", Value: "over", Urgent: true}})
		synctest.Wait()
		if _, urgent := written(); !urgent || time.Since(began) > 0 {
			t.Errorf("the urgent write is not there after %v", time.Since(began))
		}
		time.Sleep(5 * time.Second)
		synctest.Wait()
		if n, _ := written(); n < 45 || n > 60 {
			t.Errorf("%d writes in five seconds, want about 50", n)
		}
		time.Sleep(20 * time.Second)
		synctest.Wait()
		if n, _ := written(); n != 201 {
			t.Errorf("%d writes in the end, want all 201", n)
		}
	})
}

func TestBatchKeepsToTheLimits(t *testing.T) {
	l := New(5, nil, fixed(Limits{MaxChanges: 3, TransactionBytes: 1000}), nil)
	for _, w := range []Write{{Key: "a", Value: 1}, {Key: "b", Value: 1}, {Key: "a", Value: 2}, {Key: "c", Value: 1, Urgent: true}, {Key: "d", Value: 1}} {
		if err := l.enqueue(w); err != nil {
			t.Fatal(err)
		}
	}
	keys, writes, txn := l.batch()
	if !reflect.DeepEqual(keys, []string{"c", "a", "b"}) || string(writes[1].value) != "2" || len(txn.Conditions) != 5 {
		t.Errorf("batch %v, value of a %s, %d conditions", keys, writes[1].value, len(txn.Conditions))
	}
	if keys, _, _ := l.batch(); !reflect.DeepEqual(keys, []string{"d"}) {
		t.Errorf("second batch %v", keys)
	}
}

// BenchmarkRead is what a new leader makes of the ledger late in a day: two thousand
// jobs, a fifth of them unfinished.
func BenchmarkRead(b *testing.B) {
	var entries []wire.Entry
	add := func(key string, value any) {
		text, err := json.Marshal(value)
		if err != nil {
			b.Fatal(err)
		}
		entries = append(entries, wire.Entry{Key: key, Value: text, Version: uint64(len(entries))})
	}
	for i := range 2000 {
		ref := fmt.Sprintf("job-%06d", i)
		if i%5 > 0 {
			add(JobKey(ref), JobRecord{AcceptedMS: 1, Terminal: wire.JobDone, Tasks: 120, Done: 120, Class: "c", Team: "t", Cores: 120, RunS: 15})
			continue
		}
		add(JobKey(ref), JobRecord{AcceptedMS: 1, Job: &wire.Job{ID: ref, Class: "c", Team: "t", Kind: "batch", Priority: "high", Tasks: 120, CPUs: 1, MemGB: 3, Image: "i", ImageGB: 1, Spot: true, EstimatedRunS: 15}})
		add(FinishedTasksKey(ref, 0), EncodeRanges(func(i int) bool { return i%3 > 0 }, 120))
		var hosts []string
		for k := range 40 {
			hosts = append(hosts, fmt.Sprintf("vm-%06d", 40*i+k))
		}
		add(HostKey(ref, 0), hosts)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if s := decodeSnapshot(entries); len(s.Malformed) > 0 || len(s.Jobs) != 2000 {
			b.Fatal(len(s.Jobs), s.Malformed)
		}
	}
}
