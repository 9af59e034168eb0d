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

// Failover holds what a new leader logged about one failover. Durations are in seconds since the
// leader won its term.
type Failover struct {
	At   time.Time
	Term uint64
	// FromStandby reports whether the leader took the ledger's content from its standby replica. If
	// not, it read the ledger from the store.
	FromStandby bool
	// ViewReady is when the leader knew the ledger's content, FirstDecision when it decided its
	// first effect, and Resolved when every host was resolved, that is, when it knew for
	// every machine which tasks earlier leaders had started.
	ViewReady, FirstDecision, Resolved float64
	Jobs, Machines                     int
}

// failoverLine matches the line that a new leader logs. Earlier versions logged msg=takeover and
// the same fields in the same order under other names; the expression matches these lines too.
var failoverLine = regexp.MustCompile(`^time=(\S+) .*msg=(?:"failover completed" leader_term|takeover term)=(\d+) (?:from_standby|warm)=(true|false) ` +
	`(?:ledger_known_s|view_s)=(\S+) (?:first_decision_s|decided_s)=(\S+) (?:resolved_s|settled_s)=(\S+) jobs=(\d+) machines=(\d+)`)

// ReadLogs returns the failovers in controllers' logs, the earliest first.
func ReadLogs(files ...string) ([]Failover, error) {
	failovers, err := inputfiles.ReadAll(files, readLog)
	if err != nil {
		return nil, err
	}
	slices.SortStableFunc(failovers, func(a, b Failover) int { return a.At.Compare(b.At) })
	return failovers, nil
}

// maxLineBytes bounds the length of a log line. A longer line is an error.
const maxLineBytes = 1 << 20

// readLog returns the failovers of one log in its order and ignores all other lines.
func readLog(in io.Reader) ([]Failover, error) {
	var failovers []Failover
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	for lineNumber := 1; lines.Scan(); lineNumber++ {
		fields := failoverLine.FindStringSubmatch(lines.Text())
		if fields == nil {
			continue
		}
		failover, err := parseFailover(fields)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", lineNumber, err)
		}
		failovers = append(failovers, failover)
	}
	return failovers, lines.Err()
}

// parseFailover converts a match of failoverLine with its submatches to a Failover.
func parseFailover(fields []string) (failover Failover, err error) {
	if failover.At, err = time.Parse(time.RFC3339Nano, fields[1]); err != nil {
		return failover, err
	}
	if failover.Term, err = strconv.ParseUint(fields[2], 10, 64); err != nil {
		return failover, err
	}
	failover.FromStandby = fields[3] == "true"
	for i, target := range []*float64{&failover.ViewReady, &failover.FirstDecision, &failover.Resolved} {
		if *target, err = strconv.ParseFloat(fields[4+i], 64); err != nil {
			return failover, err
		}
	}
	for i, target := range []*int{&failover.Jobs, &failover.Machines} {
		if *target, err = strconv.Atoi(fields[7+i]); err != nil {
			return failover, err
		}
	}
	return failover, nil
}

// Phase is a phase of a failover, with the function that returns its duration in seconds.
type Phase struct {
	Name     string
	Duration func(f Failover) float64
}

// Phases lists the phases in the order in which they end. All begin when the term is won.
var Phases = []Phase{
	{"until the ledger was known", func(f Failover) float64 { return f.ViewReady }},
	{"until the first decision", func(f Failover) float64 { return f.FirstDecision }},
	{"until no host was in doubt", func(f Failover) float64 { return f.Resolved }},
}

// phaseDurations returns the durations of a phase in ascending order, either of the failovers from
// a standby replica or of those from the ledger.
func phaseDurations(failovers []Failover, phase Phase, fromStandby bool) []float64 {
	var durations []float64
	for _, failover := range failovers {
		if failover.FromStandby == fromStandby {
			durations = append(durations, phase.Duration(failover))
		}
	}
	slices.Sort(durations)
	return durations
}

// percentile returns the value that the given share (0 to 1) of the sorted values does not exceed,
// or 0 if there are no values.
func percentile(sorted []float64, share float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(share*float64(len(sorted)-1))]
}
