package scheduler

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
	term      uint64
	count     uint64
	exhausted bool // the term is being given up since few attempts are left
}

func newAttempts(term uint64) attempts { return attempts{term: term} }

// attemptsLeft tells whether another task can be started in this term.
func (c *Core) attemptsLeft() bool { return c.attempts.count < maxAttempts }

// nextAttempt numbers a new attempt.
func (c *Core) nextAttempt() uint64 {
	c.attempts.count++
	return c.attempts.term<<tokenBits | c.attempts.count
}

// endExhausted gives the term up when few attempts are left in it.
func (c *Core) endExhausted() {
	if c.attempts.count < maxAttempts-attemptReserve {
		return
	}
	if !c.attempts.exhausted {
		c.attempts.exhausted = true
		c.log.Info("giving the term up: its attempts are nearly used up", "term", c.term, "attempts", c.attempts.count)
	}
	c.effects.emit(ResignLeadership{})
}
