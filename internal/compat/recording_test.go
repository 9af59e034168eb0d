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

// Paths relative to this package's directory.
const (
	recordingFile  = "testdata/production/recording.json"
	protoFile      = "testdata/production/peer.proto"
	repositoryRoot = "../.."
)

// productionCommit returns the commit of the production version, which deploy/service.toml names.
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
	recording, err := ReadRecording(recordingFile)
	if err != nil {
		t.Fatal(err)
	}
	return recording
}

// TestRecordingIsOfProduction guards against a stale recording: one of another commit does not show
// that this version is compatible with the production version.
func TestRecordingIsOfProduction(t *testing.T) {
	if got, want := readProductionRecording(t).Commit, productionCommit(t); got != want {
		t.Errorf("recording is of commit %s, production runs %s: rewrite the recording as described in the package comment", got, want)
	}
}

// TestRecordedValuesAreReadInFull guards against data loss after an upgrade: values that the production
// version wrote must be the same after they are decoded and encoded again by this version.
func TestRecordedValuesAreReadInFull(t *testing.T) {
	newRecords := map[string]func() any{
		"job":    func() any { return &ledger.JobRecord{} },
		"fin":    func() any { return &ledger.Ranges{} },
		"host":   func() any { return &[]string{} },
		"hire":   func() any { return &ledger.ScaleOutRecord{} },
		"silent": func() any { return &ledger.UnreachableRecord{} },
	}
	valueCounts := map[string]int{}
	for _, v := range readProductionRecording(t).Values {
		family := KeyFamily(v.Key)
		valueCounts[family]++
		newRecord, ok := newRecords[family]
		if !ok {
			continue // covered by TestLedgerLoadsTheRecording, or a key of which only the version matters
		}
		record := newRecord()
		if err := json.Unmarshal(v.Value, record); err != nil {
			t.Errorf("%s: %v", v.Key, err)
			continue
		}
		encoded, err := json.Marshal(record)
		if err != nil {
			t.Fatal(err)
		}
		if want := compactJSON(t, v.Value); !bytes.Equal(encoded, want) {
			t.Errorf("%s: value %s is encoded as %s after decoding", v.Key, want, encoded)
		}
	}
	for family := range newRecords {
		if valueCounts[family] == 0 {
			t.Errorf("recording has no value of the key family %q", family)
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

// recordedKVStore is a key-value store that holds recorded values and rejects all writes.
type recordedKVStore struct{ values []Value }

func (s recordedKVStore) List(_ context.Context, _ kvstore.Priority, prefix, after string, _ int) (wire.EntryPage, error) {
	var page wire.EntryPage
	for _, v := range s.values {
		if strings.HasPrefix(v.Key, prefix) && v.Key > after {
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

// TestLedgerLoadsTheRecording guards against a leader of this version that skips ledger records of the
// production version when it takes over: it must load all recorded jobs, finished tasks, hosts, scale-outs
// and gone machines.
func TestLedgerLoadsTheRecording(t *testing.T) {
	values := readProductionRecording(t).Values
	recordedCounts := map[string]int{}
	for _, v := range values {
		recordedCounts[KeyFamily(v.Key)]++
	}
	zeroLimits := func() ledger.Limits { return ledger.Limits{} }
	loadedLedger := ledger.New(7, recordedKVStore{values}, zeroLimits, slog.New(slog.NewTextHandler(io.Discard, nil)))
	snapshot, err := loadedLedger.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	recordedJobs := map[string]bool{}
	for _, v := range values {
		if KeyFamily(v.Key) == "job" {
			recordedJobs[strings.TrimPrefix(v.Key, ledger.JobPrefix)] = true
		}
	}
	jobsFound, finishedCount, hostCount := 0, 0, 0
	for _, j := range snapshot.Jobs {
		if recordedJobs[j.ID] {
			jobsFound++
		}
		finishedCount += len(j.Finished)
		hostCount += len(j.Hosts)
	}
	if jobsFound != len(recordedJobs) || finishedCount != recordedCounts["fin"] || hostCount != recordedCounts["host"] || len(snapshot.ScaleOuts) != recordedCounts["hire"] || len(snapshot.GoneMachines) != recordedCounts["gone"] {
		t.Errorf("loaded %d of %d jobs, %d records of finished tasks, %d of hosts, %d of scale-outs, %d of gone machines; recorded by key family: %v", jobsFound, len(recordedJobs), finishedCount, hostCount, len(snapshot.ScaleOuts), len(snapshot.GoneMachines), recordedCounts)
	}
}

// TestRecordedMessagesAreReadInFull guards against peer messages that lose content between versions:
// messages that the production version sent to another controller must be decoded without unknown
// fields, and must be the same when encoded again.
func TestRecordedMessagesAreReadInFull(t *testing.T) {
	for _, recorded := range readProductionRecording(t).Messages {
		m := NewMessage(recorded.Method, recorded.Direction)
		if m == nil {
			t.Errorf("method %s is unknown in this version", recorded.Method)
			continue
		}
		if err := proto.Unmarshal(recorded.Payload, m); err != nil {
			t.Errorf("%s %s: %v", recorded.Method, recorded.Direction, err)
			continue
		}
		if unknown := m.ProtoReflect().GetUnknown(); len(unknown) > 0 {
			t.Errorf("%s %s: unknown fields: %x", recorded.Method, recorded.Direction, unknown)
		}
		encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
		if err != nil || !bytes.Equal(encoded, recorded.Payload) {
			t.Errorf("%s %s: message %x is encoded as %x after decoding: %v", recorded.Method, recorded.Direction, recorded.Payload, encoded, err)
		}
	}
}

// TestDeclaredMessagesStay guards against removed or changed declarations, including those that no
// recorded message uses: each message, field and method that the production version declares must
// still be declared with the same type and number.
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
	for declaration := range protoDeclarations(string(production)) {
		if !declared[declaration] {
			t.Errorf("production version declares %q, which is missing or different in this version", declaration)
		}
	}
}

// protoDeclarations returns the set of declarations in a proto file, each prefixed with its enclosing
// blocks. Comments and whitespace are normalized away.
func protoDeclarations(text string) map[string]bool {
	declarations := map[string]bool{}
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
			declarations[strings.Join(append(blocks[:len(blocks):len(blocks)], line), " ")] = true
		}
	}
	return declarations
}
