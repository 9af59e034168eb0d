package scheduler

import (
	"log/slog"
	"time"

	"leadproxy/internal/autoscaler"
)

// The intervals between reads of the cloud.
const (
	typesInterval = 30 * time.Second
	listInterval  = 4 * time.Second
)

// cloudReads requests the machine types and the list of machines from the cloud, with at most one
// request of each kind in flight. It only schedules the requests; methods of Core apply the results.
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

// requestDue sends the requests that are due.
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

// finishTypesRequest schedules the next request for the machine types after one has ended, sooner
// after a failure, and reports whether it succeeded.
func (r *cloudReads) finishTypesRequest(err error) (succeeded bool) {
	r.typesInFlight = false
	r.nextTypes = r.clock.now + typesInterval
	if err != nil {
		r.log.Debug("failed to read the machine types from the cloud", "error", err)
		r.nextTypes = r.clock.now + time.Second
	}
	return err == nil
}

// finishListRequest schedules the next request for the list of machines after one has ended, and
// reports whether it succeeded.
func (r *cloudReads) finishListRequest(err error) (succeeded bool) {
	r.listInFlight = false
	r.nextList = r.clock.now + listInterval
	if err != nil {
		r.log.Debug("failed to read the list of machines from the cloud", "error", err)
	}
	return err == nil
}
