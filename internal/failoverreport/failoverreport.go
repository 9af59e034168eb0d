// Package failoverreport makes an HTML report of failovers from the logs of the controllers.
package failoverreport

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strconv"
	"time"
)

// Takeover is one takeover, as its new leader has logged it. Times are in seconds since the
// term was won.
type Takeover struct {
	At   time.Time
	Term uint64
	// Warm: the term decided on the standby's view.
	Warm bool
	// View is when the ledger was known, Decided when the first effect of the term was
	// decided, Settled when nothing that an earlier leader may have started was in doubt.
	View, Decided, Settled float64
	Jobs, Machines         int
}

// line matches what a new leader logs, in the form of this version or of earlier ones, which
// logged msg=takeover with other names of the fields in the same order.
var line = regexp.MustCompile(`^time=(\S+) .*msg=(?:"failover completed" leader_term|takeover term)=(\d+) (?:from_standby|warm)=(true|false) ` +
	`(?:ledger_known_s|view_s)=(\S+) (?:first_decision_s|decided_s)=(\S+) (?:resolved_s|settled_s)=(\S+) jobs=(\d+) machines=(\d+)`)

// ReadLogs reads the takeovers from controllers' logs, the earliest first.
func ReadLogs(files ...string) ([]Takeover, error) {
	var all []Takeover
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		read, err := readLog(f)
		f.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		all = append(all, read...)
	}
	slices.SortStableFunc(all, func(a, b Takeover) int { return a.At.Compare(b.At) })
	return all, nil
}

// longestLine bounds a line of a log.
const longestLine = 1 << 20

func readLog(in io.Reader) ([]Takeover, error) {
	var all []Takeover
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, longestLine)
	for n := 1; lines.Scan(); n++ {
		fields := line.FindStringSubmatch(lines.Text())
		if fields == nil {
			continue
		}
		t, err := parse(fields)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		all = append(all, t)
	}
	return all, lines.Err()
}

func parse(fields []string) (t Takeover, err error) {
	if t.At, err = time.Parse(time.RFC3339Nano, fields[1]); err != nil {
		return t, err
	}
	if t.Term, err = strconv.ParseUint(fields[2], 10, 64); err != nil {
		return t, err
	}
	t.Warm = fields[3] == "true"
	for i, into := range []*float64{&t.View, &t.Decided, &t.Settled} {
		if *into, err = strconv.ParseFloat(fields[4+i], 64); err != nil {
			return t, err
		}
	}
	for i, into := range []*int{&t.Jobs, &t.Machines} {
		if *into, err = strconv.Atoi(fields[7+i]); err != nil {
			return t, err
		}
	}
	return t, nil
}

// Phase is one of the times of a takeover.
type Phase struct {
	Name string
	Of   func(t Takeover) float64
}

// Phases are the times of a takeover, in their order.
var Phases = []Phase{
	{"until the view was complete", func(t Takeover) float64 { return t.View }},
	{"until the first decision", func(t Takeover) float64 { return t.Decided }},
	{"until all machines were settled", func(t Takeover) float64 { return t.Settled }},
}

// times lists a phase of the takeovers with or without a standby's view, the shortest
// first.
func times(all []Takeover, p Phase, warm bool) []float64 {
	var values []float64
	for _, t := range all {
		if t.Warm == warm {
			values = append(values, p.Of(t))
		}
	}
	slices.Sort(values)
	return values
}

// percentile is the value that a share of sorted values does not exceed.
func percentile(sorted []float64, share float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(share*float64(len(sorted)-1))]
}
