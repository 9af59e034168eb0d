package cells

import (
	"errors"
	"fmt"
	"math"
	"time"

	"leadproxy/internal/cells/cellpb"
	"leadproxy/internal/dispatch"
	"leadproxy/internal/federation"
	"leadproxy/internal/wire"
)

// The conversions below rely on kinds and outcomes having the same numbers in package federation
// and in package cellpb. TestEnumNumbersMatch checks that.

// errMalformed means that a message violates the protocol: no controller of this protocol version
// sends it.
var errMalformed = errors.New("malformed message")

func encodeMessage(m federation.Message) *cellpb.Message {
	encoded := &cellpb.Message{Kind: cellpb.Message_Kind(m.Kind), Ref: m.JobID, Epoch: m.Epoch}
	if body := m.Body; body != nil {
		encoded.Offer = &cellpb.Offer{Job: body.Job, Cores: body.Cores, AcceptedMs: body.AcceptedMS, Repeatable: body.Repeatable}
	}
	return encoded
}

// decodeMessage converts and validates a message. The error wraps errMalformed and says which rule
// the message violates.
func decodeMessage(m *cellpb.Message) (federation.Message, error) {
	decoded := federation.Message{Kind: federation.Kind(m.Kind), JobID: m.Ref, Epoch: m.Epoch}
	switch {
	case decoded.Kind < federation.Offer || decoded.Kind > federation.Release:
		return decoded, fmt.Errorf("%w: the kind %d is not known", errMalformed, m.Kind)
	case !wire.ValidJobID(m.Ref):
		return decoded, fmt.Errorf("%w: %q is not a job's id", errMalformed, m.Ref)
	case m.Epoch == 0:
		return decoded, fmt.Errorf("%w: epochs begin at 1", errMalformed)
	case (decoded.Kind == federation.Offer) != (m.Offer != nil):
		return decoded, fmt.Errorf("%w: an offer, and only that, carries a job", errMalformed)
	}
	offer := m.Offer
	if offer == nil {
		return decoded, nil
	}
	if len(offer.Job) > wire.MaxBodyBytes || !(offer.Cores >= 0) || math.IsInf(offer.Cores, 0) || offer.AcceptedMs < 0 {
		return decoded, fmt.Errorf("%w: an offer of %d bytes, %v cores, accepted at %d", errMalformed, len(offer.Job), offer.Cores, offer.AcceptedMs)
	}
	decoded.Body = &federation.OfferBody{Job: offer.Job, Cores: offer.Cores, AcceptedMS: offer.AcceptedMs, Repeatable: offer.Repeatable}
	return decoded, nil
}

func encodeAnswer(a federation.Answer) *cellpb.Answer {
	return &cellpb.Answer{
		Ref:          a.JobID,
		Epoch:        a.Epoch,
		Outcome:      cellpb.Answer_Outcome(a.Outcome),
		Done:         int32(a.Done),
		Running:      int32(a.Running),
		Reason:       a.Reason,
		Temporary:    a.Temporary,
		RetryAfterMs: a.RetryAfter.Milliseconds(),
	}
}

// decodeAnswer converts an answer. Its outcome is not validated: package federation ignores
// outcomes that it does not know.
func decodeAnswer(a *cellpb.Answer) federation.Answer {
	return federation.Answer{
		JobID:      a.Ref,
		Epoch:      a.Epoch,
		Outcome:    federation.Outcome(a.Outcome),
		Done:       int(a.Done),
		Running:    int(a.Running),
		Reason:     a.Reason,
		Temporary:  a.Temporary,
		RetryAfter: decodeDelay(a.RetryAfterMs),
	}
}

func encodeOffer(offer dispatch.CapacityOffer) *cellpb.RoomReply {
	return &cellpb.RoomReply{
		Cores:        offer.Cores,
		ForMs:        offer.For.Milliseconds(),
		RetryAfterMs: offer.RetryAfter.Milliseconds(),
		Reason:       offer.Reason,
	}
}

// decodeOffer converts a capacity offer and limits it to the requested cores.
func decodeOffer(reply *cellpb.RoomReply, requested float64) dispatch.CapacityOffer {
	return dispatch.CapacityOffer{
		Cores:      max(0, min(reply.Cores, requested)),
		For:        decodeDelay(reply.ForMs),
		RetryAfter: decodeDelay(reply.RetryAfterMs),
		Reason:     reply.Reason,
	}
}

// maxDelay is the longest delay or validity that this cell accepts from another cell.
const maxDelay = time.Minute

// decodeDelay converts milliseconds to a duration between 0 and maxDelay.
func decodeDelay(ms int64) time.Duration {
	return min(max(0, time.Duration(ms)*time.Millisecond), maxDelay)
}
