package cells

import (
	"errors"
	"fmt"
	"math"
	"time"

	"leadproxy/internal/cells/cellpb"
	"leadproxy/internal/federation"
	"leadproxy/internal/wire"
)

// Kinds and outcomes have the same numbers in package spill and in the messages;
// TestNumbersAgree compares them.

// messageOut is a message as it travels.
func messageOut(m federation.Message) *cellpb.Message {
	out := &cellpb.Message{Kind: cellpb.Message_Kind(m.Kind), Ref: m.JobID, Epoch: m.Epoch}
	if b := m.Body; b != nil {
		out.Offer = &cellpb.Offer{Job: b.Job, Cores: b.Cores, AcceptedMs: b.AcceptedMS, Repeatable: b.Repeatable}
	}
	return out
}

// messageIn reads a message, or tells what is malformed in it.
func messageIn(m *cellpb.Message) (federation.Message, error) {
	in := federation.Message{Kind: federation.Kind(m.Kind), JobID: m.Ref, Epoch: m.Epoch}
	switch {
	case in.Kind < federation.Offer || in.Kind > federation.Release:
		return in, fmt.Errorf("the kind %d is not known", m.Kind)
	case !wire.ValidJobID(m.Ref):
		return in, fmt.Errorf("%q is not a job's id", m.Ref)
	case m.Epoch == 0:
		return in, errors.New("epochs begin at 1")
	case (in.Kind == federation.Offer) != (m.Offer != nil):
		return in, errors.New("an offer, and only that, carries a job")
	}
	o := m.Offer
	if o == nil {
		return in, nil
	}
	if len(o.Job) > wire.MaxBody || !(o.Cores >= 0) || math.IsInf(o.Cores, 0) || o.AcceptedMs < 0 {
		return in, fmt.Errorf("an offer of %d bytes, %v cores, accepted at %d", len(o.Job), o.Cores, o.AcceptedMs)
	}
	in.Body = &federation.OfferBody{Job: o.Job, Cores: o.Cores, AcceptedMS: o.AcceptedMs, Repeatable: o.Repeatable}
	return in, nil
}

// answerOut is an answer as it travels.
func answerOut(a federation.Answer) *cellpb.Answer {
	return &cellpb.Answer{Ref: a.JobID, Epoch: a.Epoch, Outcome: cellpb.Answer_Outcome(a.Outcome), Done: int32(a.Done), Running: int32(a.Running),
		Reason: a.Reason, Temporary: a.Temporary, RetryAfterMs: a.RetryAfter.Milliseconds()}
}

// answerIn reads an answer. An outcome that is not known tells nothing.
func answerIn(a *cellpb.Answer) federation.Answer {
	return federation.Answer{JobID: a.Ref, Epoch: a.Epoch, Outcome: federation.Outcome(a.Outcome), Done: int(a.Done), Running: int(a.Running),
		Reason: a.Reason, Temporary: a.Temporary, RetryAfter: milliseconds(a.RetryAfterMs)}
}

// longestPause bounds what another cell can ask us to wait.
const longestPause = time.Minute

func milliseconds(ms int64) time.Duration {
	return min(max(0, time.Duration(ms)*time.Millisecond), longestPause)
}
