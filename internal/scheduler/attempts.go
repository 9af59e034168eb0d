package scheduler

import "log/slog"

// An attempt number consists of the term and a counter within the term. It must be unique, since an
// agent treats a start with a known number as a retry, and the counter must not overflow into the
// term. A large cell uses the counter up within hours, so the leader resigns before that, and the
// next term starts at 1.

const (
	// maxAttempts is the highest value of the counter in one term.
	maxAttempts = 1<<termCounterBits - 1
	// attemptReserve is how many attempt numbers are left when the leader resigns.
	attemptReserve = 1 << 20
)

// attempts assigns the attempt numbers of a term.
type attempts struct {
	term    uint64
	log     *slog.Logger
	effects *effects

	count     uint64
	exhausted bool // the leader is resigning because at most attemptReserve numbers are left
}

func newAttempts(c *Core) attempts {
	return attempts{term: c.term, log: c.log, effects: &c.effects}
}

// hasAttemptsLeft reports whether another attempt can be numbered in this term.
func (a *attempts) hasAttemptsLeft() bool { return a.count < maxAttempts }

// nextAttempt returns the number of a new attempt.
func (a *attempts) nextAttempt() uint64 {
	a.count++
	return a.term<<termCounterBits | a.count
}

// resignIfExhausted resigns the leadership once at most attemptReserve numbers are left in the
// term.
func (a *attempts) resignIfExhausted() {
	if a.count < maxAttempts-attemptReserve {
		return
	}
	if !a.exhausted {
		a.exhausted = true
		a.log.Info("resigning: the attempt numbers of this term are nearly exhausted", "leader_term", a.term, "attempts", a.count)
	}
	a.effects.emit(ResignLeadership{})
}
