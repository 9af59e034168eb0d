package property

import (
	"flag"
	"fmt"
	"strconv"

	"pgregory.net/rapid"
)

// rapidSeed is the default random seed, so that every run of a property-based test tries the same cases.
// The flag -rapid.seed overrides it.
const rapidSeed = "1"

func init() { setFlag("rapid.seed", rapidSeed) }

// SetRapidDefaults sets the number of cases (checks) and the average number of steps per case for the
// property-based tests of a package. Packages raise them where the relevant schedules are rare. It must
// be called during package initialization, so that command-line flags override it.
func SetRapidDefaults(checks, steps int) {
	setFlag("rapid.checks", strconv.Itoa(checks))
	setFlag("rapid.steps", strconv.Itoa(steps))
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(fmt.Sprintf("set the flag %s of package rapid: %v", name, err))
	}
}

// Chooser makes the random choices in a generated history, either from a seed or by drawing from rapid.
type Chooser interface {
	// IntN returns a number in [0, n).
	IntN(n int) int
}

// RapidChooser is a Chooser that draws from rapid, so that rapid can shrink a failing history.
type RapidChooser struct{ T *rapid.T }

// IntN implements Chooser.
func (c RapidChooser) IntN(n int) int { return rapid.IntRange(0, n-1).Draw(c.T, "choice") }
