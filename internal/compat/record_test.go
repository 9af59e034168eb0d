//go:build upgrade

package compat

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"os/exec"
	"strings"
	"testing"

	"leadproxy/internal/peers/peerpb"
	"leadproxy/internal/wire"
)

var recordProduction = flag.Bool("record", false, "write the recordings of production anew")

// TestRecordProduction runs production through situations in which it writes every kind of key and
// sends every kind of message, and with -record keeps one example of each shape.
func TestRecordProduction(t *testing.T) {
	commit := productionCommit(t)
	d := newDeployment(t)
	d.exerciseControllers(buildProgram(t, commit))
	recording := Recording{Commit: commit, Messages: d.recorder.recorded(), Values: exampleValues(t, d.store.History())}
	checkKeyFamilies(t, recording.Values)
	checkMethods(t, recording.Messages)
	if *recordProduction && !t.Failed() {
		writeRecording(t, recording)
	}
}

// checkKeyFamilies expects values of every family of keys.
func checkKeyFamilies(t *testing.T, values []Value) {
	t.Helper()
	families := map[string]bool{}
	for _, v := range values {
		families[KeyFamily(v.Key)] = true
	}
	for _, want := range []string{"job", "fin", "host", "hire", "gone", "silent", "fence", "leader"} {
		if !families[want] {
			t.Errorf("production wrote no key of the family %q", want)
		}
	}
}

// checkMethods expects requests and replies of every method.
func checkMethods(t *testing.T, messages []Message) {
	t.Helper()
	sent := map[string]bool{}
	for _, m := range messages {
		sent[m.Method+" "+string(m.Direction)] = true
	}
	for _, method := range []string{peerpb.Peer_Ask_FullMethodName, peerpb.Peer_Share_FullMethodName, peerpb.Peer_Ping_FullMethodName, peerpb.Peer_Vouch_FullMethodName} {
		if !sent[method+" "+string(Request)] || !sent[method+" "+string(Reply)] {
			t.Errorf("production was not seen to use %s", method)
		}
	}
}

// writeRecording writes the recording and the proto file of the recorded commit.
func writeRecording(t *testing.T, recording Recording) {
	t.Helper()
	var text bytes.Buffer
	encoder := json.NewEncoder(&text)
	encoder.SetIndent("", " ")
	if err := encoder.Encode(recording); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(recordingFile, text.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
	proto, err := exec.Command("git", "-C", repositoryRoot, "show", recording.Commit+":internal/peers/peerpb/peer.proto").Output()
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(protoFile, proto, 0o644); err != nil {
		t.Fatal(err)
	}
}

// exampleValues returns one value of each key family and shape.
func exampleValues(t *testing.T, changes []wire.WatchEvent) (values []Value) {
	t.Helper()
	seen := map[string]bool{}
	for _, c := range changes {
		if c.Set == "" {
			continue
		}
		paths, err := FieldPaths(c.Value)
		if err != nil {
			t.Fatal(err)
		}
		shape := KeyFamily(c.Set) + " " + strings.Join(paths, " ")
		if !seen[shape] {
			seen[shape] = true
			values = append(values, Value{c.Set, c.Value})
		}
	}
	return values
}
