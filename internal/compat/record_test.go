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

var recordProduction = flag.Bool("record", false, "rewrite the recordings of the production version")

// TestRecordProduction runs the production version in situations that make it write every family of
// keys and use every peer method. With -record it stores one example of each shape as the recording.
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

// checkKeyFamilies checks that there are values of every key family.
func checkKeyFamilies(t *testing.T, values []Value) {
	t.Helper()
	families := map[string]bool{}
	for _, v := range values {
		families[KeyFamily(v.Key)] = true
	}
	for _, want := range []string{"job", "fin", "host", "hire", "gone", "silent", "fence", "leader"} {
		if !families[want] {
			t.Errorf("production version wrote no key of the family %q", want)
		}
	}
}

// checkMethods checks that there are requests and replies of every peer method.
func checkMethods(t *testing.T, messages []Message) {
	t.Helper()
	sent := map[string]bool{}
	for _, m := range messages {
		sent[m.Method+" "+string(m.Direction)] = true
	}
	for _, method := range []string{peerpb.Peer_Ask_FullMethodName, peerpb.Peer_Share_FullMethodName, peerpb.Peer_Ping_FullMethodName, peerpb.Peer_Vouch_FullMethodName} {
		if !sent[method+" "+string(Request)] || !sent[method+" "+string(Reply)] {
			t.Errorf("recording of the production version lacks a request or a reply of %s", method)
		}
	}
}

// writeRecording writes the recording, and the proto file of the recorded commit, to testdata.
func writeRecording(t *testing.T, recording Recording) {
	t.Helper()
	var encoded bytes.Buffer
	encoder := json.NewEncoder(&encoded)
	encoder.SetIndent("", " ")
	if err := encoder.Encode(recording); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(recordingFile, encoded.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
	protoSource, err := exec.Command("git", "-C", repositoryRoot, "show", recording.Commit+":internal/peers/peerpb/peer.proto").Output()
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(protoFile, protoSource, 0o644); err != nil {
		t.Fatal(err)
	}
}

// exampleValues returns one written value of each key family and shape.
func exampleValues(t *testing.T, changes []wire.WatchEvent) (values []Value) {
	t.Helper()
	seen := map[string]bool{}
	for _, change := range changes {
		if change.Set == "" {
			continue
		}
		paths, err := FieldPaths(change.Value)
		if err != nil {
			t.Fatal(err)
		}
		shape := KeyFamily(change.Set) + " " + strings.Join(paths, " ")
		if !seen[shape] {
			seen[shape] = true
			values = append(values, Value{change.Set, change.Value})
		}
	}
	return values
}
