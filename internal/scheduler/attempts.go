package scheduler

import "log/slog"

// An attempt's number is the term and a counter within it, and no two attempts may have the
// same: an agent takes a start with a known number for a repetition, and the counter must not
// overflow into the term. A large cell uses the counter up in hours, so the leader resigns well
// before that, and the next term counts from the beginning.

const (
	// maxAttempts is the highest counter of one term.
	maxAttempts = 1<<termCounterBits - 1
	// attemptReserve is how many attempts before that the term is given up.
	attemptReserve = 1 << 20
)

// attempts numbers the attempts of a term.
type attempts struct {
	term    uint64
	log     *slog.Logger
	effects *effects

	count     uint64
	exhausted bool // the term is being given up since few attempts are left
}

func newAttempts(c *Core) attempts {
	return attempts{term: c.term, log: c.log, effects: &c.effects}
}

// hasAttemptsLeft tells whether another task can be started in this term.
func (a *attempts) hasAttemptsLeft() bool { return a.count < maxAttempts }

// nextAttempt numbers a new attempt.
func (a *attempts) nextAttempt() uint64 {
	a.count++
	return a.term<<termCounterBits | a.count
}

// resignIfExhausted resigns the leadership when few attempts are left in the term.
func (a *attempts) resignIfExhausted() {
	if a.count < maxAttempts-attemptReserve {
		return
	}
	if !a.exhausted {
		a.exhausted = true
		a.log.Info("resigning: the attempt numbers of the term are nearly used up", "leader_term", a.term, "attempts", a.count)
	}
	a.effects.emit(ResignLeadership{})
}
