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

// Kinds and outcomes have the same numbers in package federation and in the messages;
// TestEnumNumbersMatch compares them.

// errMalformed means that a message can't come from a controller of this protocol version.
var errMalformed = errors.New("malformed message")

func encodeMessage(m federation.Message) *cellpb.Message {
	encoded := &cellpb.Message{Kind: cellpb.Message_Kind(m.Kind), Ref: m.JobID, Epoch: m.Epoch}
	if b := m.Body; b != nil {
		encoded.Offer = &cellpb.Offer{Job: b.Job, Cores: b.Cores, AcceptedMs: b.AcceptedMS, Repeatable: b.Repeatable}
	}
	return encoded
}

// decodeMessage returns a message, or errMalformed with what is wrong in it.
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

// decodeAnswer returns an answer. Its outcome may be one that package federation does not know
// and ignores.
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

// decodeOffer returns a capacity offer of at most the cores that were requested.
func decodeOffer(reply *cellpb.RoomReply, requested float64) dispatch.CapacityOffer {
	return dispatch.CapacityOffer{
		Cores:      max(0, min(reply.Cores, requested)),
		For:        decodeDelay(reply.ForMs),
		RetryAfter: decodeDelay(reply.RetryAfterMs),
		Reason:     reply.Reason,
	}
}

// maxDelay bounds the delays that another cell can impose on this one.
const maxDelay = time.Minute

func decodeDelay(ms int64) time.Duration {
	return min(max(0, time.Duration(ms)*time.Millisecond), maxDelay)
}
