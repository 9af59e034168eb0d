package rolloutreport

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/go-logfmt/logfmt"

	"leadproxy/internal/inputfiles"
)

// The messages that controllers log.
const (
	messagePlanPhase     = "draining"
	messageDisrupted     = "job is disrupted"
	messageRecovered     = "job is whole again"
	messageMachineReturn = "returning machine"
	reasonDrained        = "drained"
)

// ReadLogs reads a timeline from controllers' logs.
func ReadLogs(files ...string) (*Timeline, error) {
	lines, err := inputfiles.ReadAll(files, readLines)
	if err != nil {
		return nil, err
	}
	return newTimeline(lines)
}

// logLine is a line of a log with one of the messages above.
type logLine struct {
	time    time.Time
	message string
	fields  map[string]string
}

// readLines reads the lines that have one of the messages above, up to the first line that is not
// in logfmt, such as an incomplete one of a controller that was killed.
func readLines(in io.Reader) ([]logLine, error) {
	var lines []logLine
	decoder := logfmt.NewDecoder(in)
	for decoder.ScanRecord() {
		fields := map[string]string{}
		for decoder.ScanKeyval() {
			fields[string(decoder.Key())] = string(decoder.Value())
		}
		switch fields["msg"] {
		case messagePlanPhase, messageDisrupted, messageRecovered, messageMachineReturn:
		default:
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, fields["time"])
		if err != nil {
			return nil, fmt.Errorf("time of the line %q: %w", fields["msg"], err)
		}
		lines = append(lines, logLine{time: at, message: fields["msg"], fields: fields})
	}
	var syntaxError *logfmt.SyntaxError
	if err := decoder.Err(); err != nil && !errors.As(err, &syntaxError) {
		return nil, err
	}
	return lines, nil
}
