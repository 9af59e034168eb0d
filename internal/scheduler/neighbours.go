package scheduler

import (
	"log/slog"
	"time"

	"leadproxy/internal/federation"
	"leadproxy/internal/settings"
)

// neighbourTable holds the state of the neighbouring cells and of the exchanges with them. The
// fields of a neighbour are written only by its own methods and by those of the table.
type neighbourTable struct {
	clock   *clock
	log     *slog.Logger
	effects *effects

	cells settings.Cells
	list  []*neighbour // in the order of preference of the settings
	// transfersEnabled is true once every controller of this cell supports transfers.
	transfersEnabled bool
}

func newNeighbourTable(c *Core) neighbourTable {
	t := neighbourTable{clock: &c.clock, log: c.log, effects: &c.effects, cells: c.cfg.Operator.Cells}
	for _, n := range t.cells.Neighbours {
		t.list = append(t.list, &neighbour{Neighbour: n, refusedJobs: map[string]bool{}})
	}
	return t
}

// neighbour is the state that this cell keeps about another cell.
type neighbour struct {
	settings.Neighbour
	outbox              []federation.Message // queued messages, at most one per job
	exchanging          bool                 // an exchange is in flight
	unreachable         bool                 // the last exchange failed
	capacityRequested   bool                 // a capacity request is in flight
	nextCapacityRequest time.Duration        // earliest time of the next capacity request
	credit              float64              // unused cores of its latest offer
	creditExpiry        time.Duration        // when that offer expires
	refusedJobs         map[string]bool      // jobs that it has permanently refused in this term
	waitingLoggedAt     time.Duration        // when waiting jobs or a change of reachability were last logged
	noCapacityReason    string               // why its latest offer was empty
}

// The bounds of one exchange.
const (
	maxExchangeMessages = 256
	// maxExchangeBytes bounds the total size of the job descriptions. A single larger one is sent
	// alone.
	maxExchangeBytes = 1 << 20
)

// enableTransfers records that every controller of this cell supports transfers.
func (t *neighbourTable) enableTransfers() { t.transfersEnabled = true }

// find returns the neighbour with the given name, or nil if the settings do not list it.
func (t *neighbourTable) find(cell string) *neighbour {
	for _, n := range t.list {
		if n.Name == cell {
			return n
		}
	}
	return nil
}

// queueMessage queues a message for the next exchange with a cell. It replaces a queued message
// about the same job.
func (t *neighbourTable) queueMessage(cell string, m federation.Message) {
	n := t.find(cell)
	if n == nil {
		return // no longer in the settings
	}
	for i := range n.outbox {
		if n.outbox[i].JobID == m.JobID {
			n.outbox[i] = m
			return
		}
	}
	n.outbox = append(n.outbox, m)
}

// sendQueuedMessages starts an exchange with each neighbour that has queued messages. At most one
// exchange per neighbour is in flight; messages queued meanwhile are sent with the next one.
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

// batchSize returns the number of queued messages to send in the next exchange.
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

// endExchange records the result of an exchange and reports whether the neighbour has just become
// unreachable.
func (t *neighbourTable) endExchange(n *neighbour, err error) (becameUnreachable bool) {
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

// applyAnswer updates the credit and the refused jobs from an answer. A temporary refusal also
// postpones the next capacity request.
func (n *neighbour) applyAnswer(answer federation.Answer, now time.Duration) {
	switch {
	case answer.Outcome != federation.OutcomeRefused:
	case answer.Temporary:
		n.nextCapacityRequest, n.credit = max(n.nextCapacityRequest, now+answer.RetryAfter), 0
	default:
		n.refusedJobs[answer.JobID] = true
	}
}

// capacityRequestInterval is the minimum interval between capacity requests to one neighbour.
const capacityRequestInterval = 2 * time.Second

// requestCapacity sends a capacity request for a number of cores to a neighbour.
func (t *neighbourTable) requestCapacity(n *neighbour, cores float64) {
	n.capacityRequested = true
	t.effects.emit(RequestCapacity{Cell: n.Name, Cores: cores})
}

// endCapacityRequest records the result of a capacity request and reports whether the neighbour
// has offered any cores.
func (t *neighbourTable) endCapacityRequest(n *neighbour, result CapacityResult) (offered bool) {
	n.capacityRequested = false
	n.nextCapacityRequest = t.clock.now + max(capacityRequestInterval, result.RetryAfter)
	if result.Err != nil {
		t.log.Debug("capacity request failed", "cell", n.Name, "error", result.Err)
		return false
	}
	n.credit, n.creditExpiry = result.Cores, t.clock.now+result.For
	if n.noCapacityReason != result.Reason {
		n.noCapacityReason = result.Reason
		if result.Reason != "" {
			t.log.Info("neighbour offers no capacity", "cell", n.Name, "reason", result.Reason, "retry_after_s", result.RetryAfter.Seconds())
		}
	}
	return result.Cores > 0
}

// useCredit deducts cores from the credit.
func (n *neighbour) useCredit(cores float64) { n.credit -= cores }

// waitingLogDue reports whether the jobs that wait for this unreachable neighbour are to be logged
// now. If so, it starts the next interval.
func (n *neighbour) waitingLogDue(now time.Duration) bool {
	if !n.unreachable || now-n.waitingLoggedAt < waitingLogInterval {
		return false
	}
	n.waitingLoggedAt = now
	return true
}

// waitingLogInterval is the interval at which jobs that wait for an unreachable neighbour are
// logged.
const waitingLogInterval = 30 * time.Second
