package scheduler

import (
	"slices"
	"sync/atomic"

	"leadproxy/internal/wire"
)

// StartDelivery is the state of one start between the decision to start and the moment at which the
// start leaves the controller. Until then the core can withdraw it. The zero value is a start that
// is sent as soon as its effect is carried out. withdraw and decideSend may be called concurrently.
type StartDelivery struct {
	state atomic.Uint32
	// forbidden points to a flag that is set once the start must not be sent any more; nil: there
	// is no such flag.
	forbidden *atomic.Bool
}

// The values of StartDelivery.state.
const (
	deliverySent uint32 = iota
	deliveryDeferred
	deliveryWithdrawn
)

// sendDecision is whether a start may leave the controller.
type sendDecision int

const (
	sendAllowed   sendDecision = iota
	sendWithdrawn              // the core has withdrawn the start
	sendForbidden              // the core failed to withdraw the start, which is withdrawn now
)

// forbidWhen forbids sending the start once flag is set. The core calls it before it passes the
// start on, and sets the flag only after it has withdrawn the start.
func (d *StartDelivery) forbidWhen(flag *atomic.Bool) { d.forbidden = flag }

// withdraw withdraws the start unless it has been sent. It reports whether the start is withdrawn
// and will never leave the controller.
func (d *StartDelivery) withdraw() bool {
	return d.withdrawDeferred() || d.state.Load() == deliveryWithdrawn
}

// decideSend decides whether the start may leave the controller, and marks it as sent if so.
func (d *StartDelivery) decideSend() sendDecision {
	if d.forbidden != nil && d.forbidden.Load() && d.withdrawDeferred() {
		return sendForbidden
	}
	if d.state.CompareAndSwap(deliveryDeferred, deliverySent) || d.state.Load() == deliverySent {
		return sendAllowed
	}
	return sendWithdrawn
}

// withdrawDeferred withdraws the start if it is deferred, and reports whether it was.
func (d *StartDelivery) withdrawDeferred() bool {
	return d.state.CompareAndSwap(deliveryDeferred, deliveryWithdrawn)
}

// StartDeliveries are the deliveries of the starts in a list of commands, in the order of the list.
type StartDeliveries []*StartDelivery

// Defer marks the starts as waiting to be sent. The code that carries out an effect calls it in the
// core's goroutine, before another goroutine gets the effect.
func (s StartDeliveries) Defer() {
	for _, delivery := range s {
		delivery.state.Store(deliveryDeferred)
	}
}

// TakeSendable is called right before commands leave the controller. It returns those that may be
// sent, which are all but the withdrawn starts, and marks their starts as sent. forbidden are the
// starts that are held back although the core has not withdrawn them, which must never happen. The
// slice commands must not be used afterwards.
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
