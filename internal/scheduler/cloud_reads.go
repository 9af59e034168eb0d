package scheduler

import (
	"log/slog"
	"time"

	"leadproxy/internal/autoscaler"
)

// How often the cloud is read.
const (
	typesInterval = 30 * time.Second
	listInterval  = 4 * time.Second
)

// cloudReads requests the machine types and the list of machines from the cloud, one request of
// each kind at a time. It owns when the next ones are due. Methods of Core take what is read.
type cloudReads struct {
	clock   *clock
	log     *slog.Logger
	effects *effects

	nextList     time.Duration
	nextTypes    time.Duration
	listing      bool
	readingTypes bool
}

func newCloudReads(c *Core) cloudReads {
	return cloudReads{clock: &c.clock, log: c.log, effects: &c.effects}
}

// requestDue requests what is due to be read.
func (r *cloudReads) requestDue() {
	if !r.readingTypes && r.clock.now >= r.nextTypes {
		r.readingTypes = true
		r.effects.emit(CallCloud{autoscaler.Call{Types: true}})
	}
	if !r.listing && r.clock.now >= r.nextList {
		r.listing = true
		r.effects.emit(CallCloud{autoscaler.Call{List: true}})
	}
}

// typesRequestEnded notes that a request for the machine types has ended, and tells whether it
// has succeeded.
func (r *cloudReads) typesRequestEnded(err error) (succeeded bool) {
	r.readingTypes = false
	r.nextTypes = r.clock.now + typesInterval
	if err != nil {
		r.log.Debug("reading the machine types failed", "error", err)
		r.nextTypes = r.clock.now + time.Second
	}
	return err == nil
}

// listRequestEnded notes that a request for the list of machines has ended, and tells whether it
// has succeeded.
func (r *cloudReads) listRequestEnded(err error) (succeeded bool) {
	r.listing = false
	r.nextList = r.clock.now + listInterval
	if err != nil {
		r.log.Debug("listing the machines failed", "error", err)
	}
	return err == nil
}
