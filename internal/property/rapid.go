package property

import (
	"flag"
	"fmt"
	"strconv"

	"pgregory.net/rapid"
)

// rapidSeed makes every run of a property try the same cases; the flag -rapid.seed overrides it.
const rapidSeed = "1"

func init() { setFlag("rapid.seed", rapidSeed) }

// SetRapidDefaults sets how many cases of a package's properties are tried and how long their
// histories are, where the schedules that matter are rare. It has to be called while the package is
// initialized; flags of the command line override it.
func SetRapidDefaults(checks, steps int) {
	setFlag("rapid.checks", strconv.Itoa(checks))
	setFlag("rapid.steps", strconv.Itoa(steps))
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(fmt.Sprintf("rapid no longer has the flag %s: %v", name, err))
	}
}

// Chooser makes the random choices of a history, from a seed or as rapid draws them.
type Chooser interface {
	// IntN is a number from 0 to n-1.
	IntN(n int) int
}

// RapidChooser makes choices that rapid draws, so that rapid can shrink a failing history.
type RapidChooser struct{ T *rapid.T }

// IntN is a number from 0 to n-1.
func (d RapidChooser) IntN(n int) int { return rapid.IntRange(0, n-1).Draw(d.T, "choice") }
