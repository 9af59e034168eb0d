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

	nextList      time.Duration
	nextTypes     time.Duration
	listInFlight  bool
	typesInFlight bool
}

func newCloudReads(c *Core) cloudReads {
	return cloudReads{clock: &c.clock, log: c.log, effects: &c.effects}
}

// requestDue requests what is due to be read.
func (r *cloudReads) requestDue() {
	if !r.typesInFlight && r.clock.now >= r.nextTypes {
		r.typesInFlight = true
		r.effects.emit(CallCloud{autoscaler.Call{Types: true}})
	}
	if !r.listInFlight && r.clock.now >= r.nextList {
		r.listInFlight = true
		r.effects.emit(CallCloud{autoscaler.Call{List: true}})
	}
}

// finishTypesRequest notes that a request for the machine types has ended, and tells whether it
// has succeeded.
func (r *cloudReads) finishTypesRequest(err error) (succeeded bool) {
	r.typesInFlight = false
	r.nextTypes = r.clock.now + typesInterval
	if err != nil {
		r.log.Debug("reading the machine types failed", "error", err)
		r.nextTypes = r.clock.now + time.Second
	}
	return err == nil
}

// finishListRequest notes that a request for the list of machines has ended, and tells whether it
// has succeeded.
func (r *cloudReads) finishListRequest(err error) (succeeded bool) {
	r.listInFlight = false
	r.nextList = r.clock.now + listInterval
	if err != nil {
		r.log.Debug("listing the machines failed", "error", err)
	}
	return err == nil
}
