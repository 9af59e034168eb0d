//go:build upgrade

package compat

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"leadproxy/internal/fake"
	"leadproxy/internal/peers/peerpb"
	"leadproxy/internal/wire"
)

var record = flag.Bool("record", false, "write the recordings of production anew")

// TestRecordProduction runs production through what makes it write every kind of key
// and send every kind of message, and with -record keeps one example of each shape.
func TestRecordProduction(t *testing.T) {
	commit := productionCommit(t)
	d := newDeployment(t)
	d.playEverything(build(t, commit))
	recorded := Recording{Commit: commit, Messages: d.recorder.take(), Values: examples(t, d.state.Changes())}
	families := map[string]bool{}
	for _, v := range recorded.Values {
		families[KeyFamily(v.Key)] = true
	}
	for _, want := range []string{"job", "fin", "host", "hire", "gone", "silent", "fence", "leader"} {
		if !families[want] {
			t.Errorf("production wrote no key of the family %q", want)
		}
	}
	sent := map[string]bool{}
	for _, m := range recorded.Messages {
		sent[m.Method+" "+string(m.Direction)] = true
	}
	for _, method := range []string{peerpb.Peer_Ask_FullMethodName, peerpb.Peer_Share_FullMethodName, peerpb.Peer_Ping_FullMethodName, peerpb.Peer_Vouch_FullMethodName} {
		if !sent[method+" "+string(Request)] || !sent[method+" "+string(Reply)] {
			t.Errorf("production was not seen to use %s", method)
		}
	}
	if !*record || t.Failed() {
		return
	}
	var text bytes.Buffer
	encoder := json.NewEncoder(&text)
	encoder.SetIndent("", " ")
	if err := encoder.Encode(recorded); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(recordingFile, text.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
	declared, err := exec.Command("git", "-C", repository, "show", commit+":internal/peers/peerpb/peer.proto").Output()
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(protoFile, declared, 0o644); err != nil {
		t.Fatal(err)
	}
}

// playEverything has controllers of one version submit to most of what can happen to
// them: jobs that end and are cancelled, machines that are lost and silent, writes of
// unknown outcome, an outage, and a leader that ends.
func (d *deployment) playEverything(program string) {
	d.t.Helper()
	d.startAll(program)
	for k := range 12 {
		zone := "a"
		j := fake.NewJob(fmt.Sprintf("job-%06d", k), 1+4*(k%3), func(j *wire.Job) {
			switch k % 4 {
			case 1:
				j.Zone, j.Team, j.Priority = &zone, "tight", "high"
			case 2:
				due := 30.0
				j.Spread, j.DeadlineS, j.Types = true, &due, []string{"m8"}
			case 3:
				j.Gang, j.Spot = true, false
			}
		})
		d.users.Submit(j)
		if k%4 == 1 {
			d.users.Cancel(j)
		}
		time.Sleep(300 * time.Millisecond)
	}
	d.await("tasks on machines", 20*time.Second, func() bool { on, _ := d.check.On(""); return on > 0 })
	unheard := fake.Troubles(func(string, *http.Request) fake.Trouble { return fake.Trouble{Fault: fake.AnswerLost} })
	d.writes.Store(&unheard)
	time.Sleep(2 * time.Second)
	d.writes.Store(nil)
	d.users.Submit(fake.NewJob("job-000050", 20, nil))
	d.await("more tasks on machines", 20*time.Second, func() bool { on, _ := d.check.On("job-000050"); return on > 4 })
	for i, w := range d.cloud.Workers() {
		switch i % 3 {
		case 0:
			w.Hang(true)
		case 1:
			w.CutOutbound(true)
		}
	}
	time.Sleep(2 * workerLease)
	for _, w := range d.cloud.Workers() {
		w.Hang(false)
		w.CutOutbound(false)
	}
	d.state.Outage(true)
	time.Sleep(5 * time.Second)
	d.state.Outage(false)
	time.Sleep(3 * time.Second)
	if leader := d.leader(); leader >= 0 {
		d.replace(leader, program, time.Second)
	}
	d.finish()
}

// examples picks one value of each key family and shape.
func examples(t *testing.T, changes []wire.WatchEvent) (values []Value) {
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
