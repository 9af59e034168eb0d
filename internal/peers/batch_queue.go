package peers

import (
	"time"

	"leadproxy/internal/peers/peerpb"
)

// batchQueue holds the batches of heartbeats that wait to be sent, in the order of sending.
// Heartbeats are added to the last one.
type batchQueue struct {
	batches   []*peerpb.ReportBatch
	lastBytes int         // bytes of heartbeats in the last batch
	sendAt    time.Time   // when the first batch becomes due
	timer     *time.Timer // fires when the first batch becomes due
}

// idleTimerDuration is the initial duration of the timer, while no batch is queued.
const idleTimerDuration = time.Hour

func newBatchQueue() *batchQueue { return &batchQueue{timer: time.NewTimer(idleTimerDuration)} }

func (q *batchQueue) stop() { q.timer.Stop() }

// wakeUp returns the channel that receives a value when the first batch becomes due.
func (q *batchQueue) wakeUp() <-chan time.Time { return q.timer.C }

// due returns the first batch if it may be sent now, or nil.
func (q *batchQueue) due() *peerpb.ReportBatch {
	if len(q.batches) == 0 || time.Now().Before(q.sendAt) {
		return nil
	}
	return q.batches[0]
}

// addHeartbeat adds a heartbeat to the last batch, or to a new one if that is full.
func (q *batchQueue) addHeartbeat(heartbeat *peerpb.SharedReport) {
	if len(q.batches) == 0 || q.lastBytes >= maxBatchBytes {
		q.addBatch(&peerpb.ReportBatch{})
	}
	last := q.batches[len(q.batches)-1]
	last.Reports = append(last.Reports, heartbeat)
	q.lastBytes += len(heartbeat.Body)
}

// addBatch appends a batch, which becomes due at sendAt.
func (q *batchQueue) addBatch(batch *peerpb.ReportBatch) {
	q.batches, q.lastBytes = append(q.batches, batch), 0
	q.timer.Reset(max(0, time.Until(q.sendAt)))
}

// removeSent removes the first batch after it was sent. minBatchInterval, in which heartbeats are
// gathered, applies only after the last batch: those before it are full.
func (q *batchQueue) removeSent() {
	q.batches[0] = nil
	q.batches = q.batches[1:]
	if len(q.batches) == 0 {
		q.batches, q.sendAt = nil, time.Now().Add(minBatchInterval)
	}
}

func (q *batchQueue) clear() { q.batches = nil }
