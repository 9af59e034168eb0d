package scheduler

import "log/slog"

// An attempt's number is the term and a counter within it, and no two attempts may have
// the same: a worker takes a start with a number that it knows for a repetition, and the
// counter must not run over into the term. A large fleet uses the counter up in hours, so
// the leader hands over well before that, and the next term counts from the beginning.

const (
	// maxAttempts is the highest counter of one term.
	maxAttempts = 1<<tokenBits - 1
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

// attemptsLeft tells whether another task can be started in this term.
func (a *attempts) attemptsLeft() bool { return a.count < maxAttempts }

// nextAttempt numbers a new attempt.
func (a *attempts) nextAttempt() uint64 {
	a.count++
	return a.term<<tokenBits | a.count
}

// endExhausted gives the term up when few attempts are left in it.
func (a *attempts) endExhausted() {
	if a.count < maxAttempts-attemptReserve {
		return
	}
	if !a.exhausted {
		a.exhausted = true
		a.log.Info("giving the term up: its attempts are nearly used up", "term", a.term, "attempts", a.count)
	}
	a.effects.emit(ResignLeadership{})
}
