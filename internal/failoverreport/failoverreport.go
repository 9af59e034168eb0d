// Package failoverreport makes an HTML report of failovers from the logs of the controllers.
package failoverreport

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"time"

	"leadproxy/internal/inputfiles"
)

// Failover is one failover as the new leader has logged it. Durations are in seconds since the
// term was won.
type Failover struct {
	At   time.Time
	Term uint64
	// FromStandby: the term acted on the standby's replica; else it read the ledger.
	FromStandby bool
	// ViewReady is when the ledger's content was known, FirstDecision when the term decided its
	// first effect, Resolved when no host was in doubt any more: when the tasks of earlier
	// leaders were known for every machine.
	ViewReady, FirstDecision, Resolved float64
	Jobs, Machines                     int
}

// failoverLine matches what a new leader logs, in the form of this version or of earlier ones, which
// logged msg=takeover with other names of the fields in the same order.
var failoverLine = regexp.MustCompile(`^time=(\S+) .*msg=(?:"failover completed" leader_term|takeover term)=(\d+) (?:from_standby|warm)=(true|false) ` +
	`(?:ledger_known_s|view_s)=(\S+) (?:first_decision_s|decided_s)=(\S+) (?:resolved_s|settled_s)=(\S+) jobs=(\d+) machines=(\d+)`)

// ReadLogs reads the failovers from controllers' logs, the earliest first.
func ReadLogs(files ...string) ([]Failover, error) {
	all, err := inputfiles.ReadAll(files, readLog)
	if err != nil {
		return nil, err
	}
	slices.SortStableFunc(all, func(a, b Failover) int { return a.At.Compare(b.At) })
	return all, nil
}

// maxLineBytes bounds the length of a log line in bytes.
const maxLineBytes = 1 << 20

func readLog(in io.Reader) ([]Failover, error) {
	var all []Failover
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	for n := 1; lines.Scan(); n++ {
		fields := failoverLine.FindStringSubmatch(lines.Text())
		if fields == nil {
			continue
		}
		t, err := parseFailover(fields)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		all = append(all, t)
	}
	return all, lines.Err()
}

// parseFailover converts the submatches of failoverLine.
func parseFailover(fields []string) (t Failover, err error) {
	if t.At, err = time.Parse(time.RFC3339Nano, fields[1]); err != nil {
		return t, err
	}
	if t.Term, err = strconv.ParseUint(fields[2], 10, 64); err != nil {
		return t, err
	}
	t.FromStandby = fields[3] == "true"
	for i, into := range []*float64{&t.ViewReady, &t.FirstDecision, &t.Resolved} {
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

// Phase is one of the durations of a failover.
type Phase struct {
	Name     string
	Duration func(f Failover) float64
}

// Phases are the durations of a failover, in their order.
var Phases = []Phase{
	{"until the ledger was known", func(f Failover) float64 { return f.ViewReady }},
	{"until the first decision", func(f Failover) float64 { return f.FirstDecision }},
	{"until no host was in doubt", func(f Failover) float64 { return f.Resolved }},
}

// phaseDurations returns the durations of a phase in ascending order, of the failovers with or
// without a standby.
func phaseDurations(all []Failover, p Phase, fromStandby bool) []float64 {
	var values []float64
	for _, t := range all {
		if t.FromStandby == fromStandby {
			values = append(values, p.Duration(t))
		}
	}
	slices.Sort(values)
	return values
}

// percentile returns the value that the given share of the sorted values does not exceed.
func percentile(sorted []float64, share float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(share*float64(len(sorted)-1))]
}
