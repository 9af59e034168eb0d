package scheduler

import (
	"slices"
	"sync/atomic"

	"leadproxy/internal/wire"
)

// StartDelivery is the state of one start between its decision and the moment at which it leaves
// the controller: the core can withdraw it until then. The zero value stands for a start that is
// sent at once with its effect.
type StartDelivery struct {
	state atomic.Uint32
	// forbidden is set once the start must not be sent any more; nil: it may always be.
	forbidden *atomic.Bool
}

// The states of a delivery.
const (
	deliverySent uint32 = iota
	deliveryDeferred
	deliveryWithdrawn
)

// sendDecision says whether a start may leave the controller.
type sendDecision int

// The decisions about a start.
const (
	sendAllowed   sendDecision = iota
	sendWithdrawn              // the core has withdrawn it
	sendForbidden              // the core should have withdrawn it
)

// forbidWhen has the start forbidden from when a flag is set. The core calls it before it hands the
// start on, and sets the flag only after it has withdrawn the start.
func (d *StartDelivery) forbidWhen(flag *atomic.Bool) { d.forbidden = flag }

// withdraw keeps the start from being sent, and reports whether it came in time: after true the
// start never leaves the controller.
func (d *StartDelivery) withdraw() bool {
	return d.withdrawDeferred() || d.state.Load() == deliveryWithdrawn
}

// decideSend decides whether the start may leave the controller at this moment.
func (d *StartDelivery) decideSend() sendDecision {
	if d.forbidden != nil && d.forbidden.Load() && d.withdrawDeferred() {
		return sendForbidden
	}
	if d.state.CompareAndSwap(deliveryDeferred, deliverySent) || d.state.Load() == deliverySent {
		return sendAllowed
	}
	return sendWithdrawn
}

// withdrawDeferred reports whether the start was still waiting, and withdraws it.
func (d *StartDelivery) withdrawDeferred() bool {
	return d.state.CompareAndSwap(deliveryDeferred, deliveryWithdrawn)
}

// StartDeliveries are those of the starts in a list of commands, in the same order.
type StartDeliveries []*StartDelivery

// Defer notes that the starts wait before they are sent. Whoever carries out an effect calls it in
// the core's goroutine, before another one gets the effect.
func (s StartDeliveries) Defer() {
	for _, delivery := range s {
		delivery.state.Store(deliveryDeferred)
	}
}

// TakeSendable is called right before commands leave the controller. It returns those that may: all but
// the starts that were withdrawn. forbidden are the starts that are held back though the core has
// not withdrawn them, which must never happen. The list of commands is used up.
func (s StartDeliveries) TakeSendable(commands []wire.Command) (sendable, forbidden []wire.Command) {
	next := 0
	sendable = slices.DeleteFunc(commands, func(command wire.Command) bool {
		if command.Verb != wire.VerbStart || next == len(s) {
			return false
		}
		decision := s[next].decideSend()
		next++
		if decision == sendForbidden {
			forbidden = append(forbidden, command)
		}
		return decision != sendAllowed
	})
	return sendable, forbidden
}
