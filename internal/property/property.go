// Package property has what the property tests of the packages share.
package property

import (
	"flag"
	"fmt"
	"strconv"

	"pgregory.net/rapid"
)

// seed makes every run of a property try the same cases; -rapid.seed overrides it.
const seed = "1"

func init() { set("rapid.seed", seed) }

// More has a package's properties tried more often than others, and in longer histories:
// where the schedules that matter are rare. It is called as the package begins; flags of
// the command line override it.
func More(checks, steps int) {
	set("rapid.checks", strconv.Itoa(checks))
	set("rapid.steps", strconv.Itoa(steps))
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(fmt.Sprintf("rapid has no flag %s any more: %v", name, err))
	}
}

// Chooser makes the choices of a history, at random from a seed or as rapid has it.
type Chooser interface {
	// IntN is a number from 0 to n-1.
	IntN(n int) int
}

// Drawn has rapid make the choices, which then finds the smallest history that fails.
type Drawn struct{ T *rapid.T }

// IntN is a number from 0 to n-1.
func (d Drawn) IntN(n int) int { return rapid.IntRange(0, n-1).Draw(d.T, "choice") }
