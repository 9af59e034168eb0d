package scheduler

import (
	"log/slog"
	"time"

	"leadproxy/internal/federation"
	"leadproxy/internal/settings"
)

// neighbourTable is what this cell knows of its neighbours. It owns them and the exchanges with
// them; a neighbour's fields are written by its own methods and those of the table.
type neighbourTable struct {
	clock   *clock
	log     *slog.Logger
	effects *effects

	cells settings.Cells
	list  []*neighbour // in order of preference
	// transfersEnabled tells whether every controller of this cell knows transfers.
	transfersEnabled bool
}

func newNeighbourTable(c *Core) neighbourTable {
	t := neighbourTable{clock: &c.clock, log: c.log, effects: &c.effects, cells: c.cfg.Operator.Cells}
	for _, n := range t.cells.Neighbours {
		t.list = append(t.list, &neighbour{Neighbour: n, refusedJobs: map[string]bool{}})
	}
	return t
}

// neighbour is what the origin cell knows of another cell.
type neighbour struct {
	settings.Neighbour
	outbox              []federation.Message // the newest for each job
	exchanging          bool                 // an exchange is under way
	unreachable         bool                 // the last exchange was not answered
	capacityRequested   bool                 // a capacity request is under way
	nextCapacityRequest time.Duration        // when the next one may be sent
	credit              float64              // cores that it has offered and that are not used yet
	creditExpiry        time.Duration        // when its offer expires
	refusedJobs         map[string]bool      // jobs that it can't run, as it has said in this term
	waitingLoggedAt     time.Duration        // when it was last logged that jobs wait for it
	noCapacityReason    string               // why it last had no capacity
}

// maxExchangeMessages bounds the messages of one exchange, and maxExchangeBytes the jobs in it.
const (
	maxExchangeMessages = 256
	maxExchangeBytes    = 1 << 20
)

// enableTransfers notes that every controller of this cell knows transfers.
func (t *neighbourTable) enableTransfers() { t.transfersEnabled = true }

// find returns the neighbour of a name; nil if the settings do not name it.
func (t *neighbourTable) find(cell string) *neighbour {
	for _, n := range t.list {
		if n.Name == cell {
			return n
		}
	}
	return nil
}

// queueMessage has a message leave with the next exchange. A newer one about the same job
// replaces it.
func (t *neighbourTable) queueMessage(cell string, m federation.Message) {
	n := t.find(cell)
	if n == nil {
		return // the settings no longer name it
	}
	for i := range n.outbox {
		if n.outbox[i].JobID == m.JobID {
			n.outbox[i] = m
			return
		}
	}
	n.outbox = append(n.outbox, m)
}

// sendQueuedMessages sends the queued messages. One exchange with each neighbour is under way at a
// time; what is queued meanwhile is sent with the next.
func (t *neighbourTable) sendQueuedMessages() {
	for _, n := range t.list {
		if n.exchanging || len(n.outbox) == 0 {
			continue
		}
		count := n.batchSize()
		n.exchanging = true
		t.effects.emit(SendTransfers{Cell: n.Name, Messages: n.outbox[:count:count]})
		n.outbox = n.outbox[count:]
	}
}

// batchSize is how many of the queued messages are sent in one exchange.
func (n *neighbour) batchSize() int {
	bytes := 0
	for i, m := range n.outbox {
		if m.Body != nil {
			bytes += len(m.Body.Job)
		}
		if i == maxExchangeMessages || i > 0 && bytes > maxExchangeBytes {
			return i
		}
	}
	return len(n.outbox)
}

// endExchange notes that an exchange has ended, and tells whether the neighbour has become
// unreachable with it.
func (t *neighbourTable) endExchange(n *neighbour, err error) (lost bool) {
	n.exchanging = false
	unreachable := err != nil
	if unreachable == n.unreachable {
		return false
	}
	n.unreachable, n.waitingLoggedAt = unreachable, t.clock.now
	if unreachable {
		t.log.Info("neighbour unreachable", "cell", n.Name, "error", err)
	} else {
		t.log.Info("neighbour reachable again", "cell", n.Name)
	}
	return unreachable
}

// applyAnswer notes what an answer says of the neighbour's capacity.
func (n *neighbour) applyAnswer(a federation.Answer, now time.Duration) {
	switch {
	case a.Outcome != federation.OutcomeRefused:
	case a.Temporary:
		n.nextCapacityRequest, n.credit = max(n.nextCapacityRequest, now+a.RetryAfter), 0
	default:
		n.refusedJobs[a.JobID] = true
	}
}

// capacityRequestInterval is the least time between two capacity requests to a neighbour.
const capacityRequestInterval = 2 * time.Second

// requestCapacity requests an offer of capacity.
func (t *neighbourTable) requestCapacity(n *neighbour, cores float64) {
	n.capacityRequested = true
	t.effects.emit(RequestCapacity{Cell: n.Name, Cores: cores})
}

// endCapacityRequest takes a neighbour's reply to a capacity request, and tells whether it has
// offered any.
func (t *neighbourTable) endCapacityRequest(n *neighbour, e CapacityResult) (offered bool) {
	n.capacityRequested = false
	n.nextCapacityRequest = t.clock.now + max(capacityRequestInterval, e.RetryAfter)
	if e.Err != nil {
		t.log.Debug("capacity request failed", "cell", n.Name, "error", e.Err)
		return false
	}
	n.credit, n.creditExpiry = e.Cores, t.clock.now+e.For
	if n.noCapacityReason != e.Reason {
		n.noCapacityReason = e.Reason
		if e.Reason != "" {
			t.log.Info("neighbour offers no capacity", "cell", n.Name, "reason", e.Reason, "retry_after_s", e.RetryAfter.Seconds())
		}
	}
	return e.Cores > 0
}

// useCredit takes cores from the neighbour's offer.
func (n *neighbour) useCredit(cores float64) { n.credit -= cores }

// waitingLogDue tells whether it is to be logged that jobs wait for the neighbour.
func (n *neighbour) waitingLogDue(now time.Duration) bool {
	if !n.unreachable || now-n.waitingLoggedAt < waitingLogInterval {
		return false
	}
	n.waitingLoggedAt = now
	return true
}

// waitingLogInterval is how often that is logged.
const waitingLogInterval = 30 * time.Second
