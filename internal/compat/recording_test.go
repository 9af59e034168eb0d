package compat

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
	"google.golang.org/protobuf/proto"

	"leadproxy/internal/kvstore"
	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// Paths from this package's directory.
const (
	recordingFile  = "testdata/production/recording.json"
	protoFile      = "testdata/production/peer.proto"
	repositoryRoot = "../.."
)

// productionCommit is the commit that deploy/service.toml names as the one in production.
func productionCommit(t *testing.T) string {
	t.Helper()
	var deploy struct {
		Production string `toml:"production"`
	}
	if _, err := toml.DecodeFile(filepath.Join(repositoryRoot, "deploy", "service.toml"), &deploy); err != nil {
		t.Fatal(err)
	}
	return deploy.Production
}

func readProductionRecording(t *testing.T) Recording {
	t.Helper()
	r, err := ReadRecording(recordingFile)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestRecordingIsOfProduction: a recording of another commit would prove nothing.
func TestRecordingIsOfProduction(t *testing.T) {
	if got, want := readProductionRecording(t).Commit, productionCommit(t); got != want {
		t.Errorf("the recording is of %s, production is %s: record it anew, as the package's comment says", got, want)
	}
}

// TestRecordedValuesAreReadInFull: values that production has written are decoded without loss:
// encoded again they are the same.
func TestRecordedValuesAreReadInFull(t *testing.T) {
	newRecords := map[string]func() any{
		"job":    func() any { return &ledger.JobRecord{} },
		"fin":    func() any { return &ledger.Ranges{} },
		"host":   func() any { return &[]string{} },
		"hire":   func() any { return &ledger.ScaleOutRecord{} },
		"silent": func() any { return &ledger.UnreachableRecord{} },
	}
	seen := map[string]int{}
	for _, v := range readProductionRecording(t).Values {
		family := KeyFamily(v.Key)
		seen[family]++
		newRecord, ok := newRecords[family]
		if !ok {
			continue // TestLedgerLoadsTheRecording reads it, or only its version matters
		}
		record := newRecord()
		if err := json.Unmarshal(v.Value, record); err != nil {
			t.Errorf("%s: %v", v.Key, err)
			continue
		}
		again, err := json.Marshal(record)
		if err != nil {
			t.Fatal(err)
		}
		if want := compactJSON(t, v.Value); !bytes.Equal(again, want) {
			t.Errorf("%s: %s is encoded again as %s", v.Key, want, again)
		}
	}
	for family := range newRecords {
		if seen[family] == 0 {
			t.Errorf("no value of the family %q is recorded", family)
		}
	}
}

func compactJSON(t *testing.T, value json.RawMessage) []byte {
	t.Helper()
	var out bytes.Buffer
	if err := json.Compact(&out, value); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// recordedKVStore is a key-value store with the recorded values.
type recordedKVStore struct{ values []Value }

func (s recordedKVStore) List(_ context.Context, _ kvstore.Priority, under, after string, _ int) (wire.EntryPage, error) {
	var page wire.EntryPage
	for _, v := range s.values {
		if strings.HasPrefix(v.Key, under) && v.Key > after {
			page.Entries = append(page.Entries, wire.Entry{Key: v.Key, Value: v.Value, Version: 1})
		}
	}
	return page, nil
}

func (s recordedKVStore) Get(_ context.Context, _ kvstore.Priority, key string) (wire.Entry, bool, error) {
	for _, v := range s.values {
		if v.Key == key {
			return wire.Entry{Key: key, Value: v.Value, Version: 1}, true, nil
		}
	}
	return wire.Entry{}, false, nil
}

func (s recordedKVStore) CompareAndSwap(context.Context, kvstore.Priority, wire.CompareAndSwap) (bool, wire.CompareAndSwapResponse, error) {
	return false, wire.CompareAndSwapResponse{}, kvstore.ErrUnavailable
}

// TestLedgerLoadsTheRecording: a new leader of this version loads all recorded values.
func TestLedgerLoadsTheRecording(t *testing.T) {
	values := readProductionRecording(t).Values
	want := map[string]int{}
	for _, v := range values {
		want[KeyFamily(v.Key)]++
	}
	bounds := func() ledger.Limits { return ledger.Limits{} }
	l := ledger.New(7, recordedKVStore{values}, bounds, slog.New(slog.NewTextHandler(io.Discard, nil)))
	s, err := l.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	jobs := map[string]bool{}
	for _, v := range values {
		if KeyFamily(v.Key) == "job" {
			jobs[strings.TrimPrefix(v.Key, ledger.JobPrefix)] = true
		}
	}
	found, finished, hosts := 0, 0, 0
	for _, j := range s.Jobs {
		if jobs[j.ID] {
			found++
		}
		finished += len(j.Finished)
		hosts += len(j.Hosts)
	}
	if found != len(jobs) || finished != want["fin"] || hosts != want["host"] || len(s.ScaleOuts) != want["hire"] || len(s.GoneMachines) != want["gone"] {
		t.Errorf("%d of %d jobs, %d finished, %d hosts, %d scale-outs, %d gone; recorded were %v", found, len(jobs), finished, hosts, len(s.ScaleOuts), len(s.GoneMachines), want)
	}
}

// TestRecordedMessagesAreReadInFull: messages that production has sent to another controller are
// decoded without unknown fields, and encoded again they are the same.
func TestRecordedMessagesAreReadInFull(t *testing.T) {
	for _, recorded := range readProductionRecording(t).Messages {
		m := NewMessage(recorded.Method, recorded.Direction)
		if m == nil {
			t.Errorf("%s is no longer known", recorded.Method)
			continue
		}
		if err := proto.Unmarshal(recorded.Payload, m); err != nil {
			t.Errorf("%s %s: %v", recorded.Method, recorded.Direction, err)
			continue
		}
		if unknown := m.ProtoReflect().GetUnknown(); len(unknown) > 0 {
			t.Errorf("%s %s: unknown fields: %x", recorded.Method, recorded.Direction, unknown)
		}
		again, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
		if err != nil || !bytes.Equal(again, recorded.Payload) {
			t.Errorf("%s %s: %x is encoded again as %x: %v", recorded.Method, recorded.Direction, recorded.Payload, again, err)
		}
	}
}

// TestDeclaredMessagesStay: each message, field and method that production declares is declared here
// with the same type and number.
func TestDeclaredMessagesStay(t *testing.T) {
	production, err := os.ReadFile(protoFile)
	if err != nil {
		t.Fatal(err)
	}
	current, err := os.ReadFile(filepath.Join(repositoryRoot, "internal/peers/peerpb/peer.proto"))
	if err != nil {
		t.Fatal(err)
	}
	declared := protoDeclarations(string(current))
	for d := range protoDeclarations(string(production)) {
		if !declared[d] {
			t.Errorf("production declares %q, which is missing or different here", d)
		}
	}
}

// protoDeclarations lists the declarations of a proto file, each with the names of its enclosing
// blocks.
func protoDeclarations(text string) map[string]bool {
	all := map[string]bool{}
	var blocks []string
	for line := range strings.Lines(text) {
		line, _, _ = strings.Cut(line, "//")
		line = strings.Join(strings.Fields(line), " ")
		switch {
		case strings.HasSuffix(line, "{"):
			blocks = append(blocks, line)
		case line == "}":
			blocks = blocks[:len(blocks)-1]
		case line != "":
			all[strings.Join(append(blocks[:len(blocks):len(blocks)], line), " ")] = true
		}
	}
	return all
}
