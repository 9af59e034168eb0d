package cells

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"leadproxy/internal/cells/cellpb"
)

// TestWriteTransferList checks that the tables have the states and ages of neighbours and
// transfers.
func TestWriteTransferList(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	var out bytes.Buffer
	err := WriteTransferList(&out, &cellpb.ListReply{Cell: "lima",
		Neighbours: []*cellpb.Neighbour{{Name: "puno", Drain: true, Silent: true, Jobs: 1, Cores: 16, Lent: 4}},
		Away:       []*cellpb.Away{{Ref: "job-1", Cell: "puno", Epoch: 2, Phase: "running", Cancelling: true, SinceMs: 940_000, HeardMs: 1500, Running: 3}},
		Guests:     []*cellpb.Guest{{Home: "puno", Ref: "job-7", Epoch: 1, State: "accepted", SinceMs: 880_000}},
		Counts:     []*cellpb.Count{{Cell: "puno", Out: true, Step: "offered", Count: 5}},
	}, now)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"draining, silent", "running, cancelling", "1m0s", "1.5s ago", "job-7", "2m0s", "offered"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the list lacks %q:\n%s", want, out.String())
		}
	}
}
