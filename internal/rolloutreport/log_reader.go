package rolloutreport

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/go-logfmt/logfmt"

	"leadproxy/internal/inputfiles"
)

// Log messages of the controllers that the report reads, and the reason logged for the return of a
// drained machine.
const (
	messagePlanPhase     = "draining"
	messageDisrupted     = "job is disrupted"
	messageRecovered     = "job is whole again"
	messageMachineReturn = "returning machine"
	reasonDrained        = "drained"
)

// ReadLogs returns the timeline of the events in controllers' logs.
func ReadLogs(files ...string) (*Timeline, error) {
	lines, err := inputfiles.ReadAll(files, readLines)
	if err != nil {
		return nil, err
	}
	return newTimeline(lines)
}

// logLine is a log line with one of the messages above.
type logLine struct {
	time    time.Time
	message string
	fields  map[string]string
}

// readLines returns the lines that have one of the messages above. It stops without an error at the
// first line that is not valid logfmt, such as the incomplete last line of a controller that was
// killed.
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
		timestamp, err := time.Parse(time.RFC3339Nano, fields["time"])
		if err != nil {
			return nil, fmt.Errorf("time of the line %q: %w", fields["msg"], err)
		}
		lines = append(lines, logLine{time: timestamp, message: fields["msg"], fields: fields})
	}
	var syntaxError *logfmt.SyntaxError
	if err := decoder.Err(); err != nil && !errors.As(err, &syntaxError) {
		return nil, err
	}
	return lines, nil
}
