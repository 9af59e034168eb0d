package dispatch

import (
	"context"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
	"leadproxy/internal/scheduler"
)

// executeEffects executes effects of the core: it delivers replies immediately, starts I/O in the
// background, and submits all ledger writes together.
func (t *term) executeEffects(ctx context.Context, effects []scheduler.Effect) {
	var writes []ledger.Write
	for _, effect := range effects {
		switch effect := effect.(type) {
		case scheduler.WriteLedger:
			writes = append(writes, effect.Writes...)
		case scheduler.CallCloud:
			t.callCloud(ctx, effect.Call)
		case scheduler.SendCommands:
			effect.Starts.Defer()
			go t.sendCommands(ctx, effect)
		case scheduler.InspectAgent:
			go t.inspectAgent(ctx, effect)
		case scheduler.ReadJobRecord:
			go t.readJobRecord(ctx, effect.JobID)
		case scheduler.ResignLeadership:
			t.elector.Resign(t.number)
		case scheduler.SendTransfers:
			go t.sendTransfers(ctx, effect)
		case scheduler.RequestCapacity:
			go t.requestCapacity(ctx, effect)
		case scheduler.WriteForeign:
			go t.writeForeignRecord(ctx, effect)
		case scheduler.TraceTransfer:
			t.config.TraceTransfer(effect.Step)
		case scheduler.HeartbeatReply:
			effect.Starts.Defer()
			effect.ReplyTo.Deliver(effect)
		default:
			deliverReply(effect)
		}
	}
	if len(writes) > 0 {
		t.ledger.Put(ctx, writes)
	}
}

// deliverReply delivers a reply to the caller that waits for it.
func deliverReply(effect scheduler.Effect) {
	switch reply := effect.(type) {
	case scheduler.UserReply:
		reply.ReplyTo.Deliver(effect)
	case scheduler.SoftStateReply:
		reply.ReplyTo.Deliver(effect)
	case scheduler.PlanReply:
		reply.ReplyTo.Deliver(effect)
	case scheduler.PlanListReply:
		reply.ReplyTo.Deliver(effect)
	case scheduler.TransferReply:
		reply.ReplyTo.Deliver(effect)
	case scheduler.CapacityReply:
		reply.ReplyTo.Deliver(effect)
	case scheduler.TransferListReply:
		reply.ReplyTo.Deliver(effect)
	}
}

// callCloud submits a call to the cloud's API. Leadership is checked here and again immediately
// before the call is sent: a leader that was suspended and then deletes machines would take them
// from its successor. If the check fails, the core receives autoscaler.ErrNotExecuted and retries
// later.
func (t *term) callCloud(ctx context.Context, call autoscaler.Call) {
	call.MaySend = func() bool { return t.guard.MayAct(t.number, "cloud call") }
	if !call.MaySend() {
		go t.postResult(ctx, scheduler.CloudResult{Result: autoscaler.Result{Call: call, Err: autoscaler.ErrNotExecuted}})
		return
	}
	t.cloud.Submit(ctx, call)
}
