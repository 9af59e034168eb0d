//go:build measure

package standby_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"leadproxy/internal/fake"
)

// How long a takeover takes with real controllers on the loopback interface, by the number
// of jobs in the ledger. docs/design-standby.md has the command.

const takeovers = 4

// TestMeasureTakeover ends leaders, with and without a standby in turns.
func TestMeasureTakeover(t *testing.T) {
	program := fake.Build(t, "../..")
	t.Log("| jobs | standby | view s, each | decided s, each | from the end of the leader to all settled s, each |")
	for _, jobs := range []int{1000, 10000, 50000} {
		for _, warm := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d jobs, standby %v", jobs, warm), func(t *testing.T) {
				d := newDeployment(t, jobs, 0, warm)
				for _, n := range d.nodes {
					n.Start(program)
				}
				fake.Await(t, "the first term", 60*time.Second, func() bool { return len(d.lines()) > 0 })
				var views, decided, ending []string
				for range takeovers {
					if warm {
						fake.Await(t, "both standbys follow", 60*time.Second, func() bool { return d.following() == controllers-1 })
					} else {
						time.Sleep(3 * time.Second)
					}
					p := d.takeOver(program)
					if p.warm != warm {
						t.Errorf("warm: %v, want %v", p.warm, warm)
					}
					views, decided, ending = append(views, fmt.Sprintf("%.3f", p.view)), append(decided, fmt.Sprintf("%.3f", p.decided)), append(ending, fmt.Sprintf("%.2f", p.ending))
				}
				t.Logf("| %d | %v | %s | %s | %s |", jobs, warm, strings.Join(views, ", "), strings.Join(decided, ", "), strings.Join(ending, ", "))
			})
		}
	}
}
