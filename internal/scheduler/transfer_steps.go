package scheduler

import "leadproxy/internal/federation"

// TransferCount names a counter of transfers' steps.
type TransferCount struct {
	Cell string // the other one
	// Out is set for jobs of this cell.
	Out  bool
	Step string
}

// transferSteps counts the steps of transfers and has them traced. It owns the counts.
type transferSteps struct {
	effects *effects

	counts map[TransferCount]int
}

func newTransferSteps(c *Core) transferSteps {
	return transferSteps{effects: &c.effects, counts: map[TransferCount]int{}}
}

// trace counts a step and has it logged and traced.
func (s *transferSteps) trace(n federation.TransferStep) {
	count := TransferCount{Cell: n.Cell, Out: true, Step: n.Step}
	if n.Origin != "" {
		count = TransferCount{Cell: n.Origin, Step: n.Step}
	}
	s.counts[count]++
	s.effects.emit(TraceTransfer{n})
}
