package scheduler

import (
	"testing"

	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// TestStartIsWithdrawnUntilSent guards against starts that are sent after the cancellation of their
// job. A start that is waiting to be sent, in a response or a direct command, is never sent, and
// its allocation is released at once. One that was sent is stopped.
func TestStartIsWithdrawnUntilSent(t *testing.T) {
	cases := []struct {
		name      string
		sent      bool // before the cancellation
		sendable  int  // commands that may be sent after the cancellation
		allocated int
		stops     int
	}{
		{"start is waiting", false, 0, 0, 0},
		{"start was sent", true, 1, 1, 1},
	}
	for _, test := range cases {
		for name, deliver := range map[string]func(h *harness) (StartDeliveries, []wire.Command){"command": startInCommand, "response": startInResponse} {
			t.Run(test.name+" in a "+name, func(t *testing.T) {
				h := newHarness(t, ledger.Snapshot{})
				h.bringUp("vm-1")
				starts, commands := deliver(h)
				starts.Defer()
				if test.sent {
					starts.TakeSendable(commands)
				}
				h.sentCommands = nil
				h.step(CancelRequest{JobID: "job-1", ReplyTo: testRecipient("u")})
				sendable, forbidden := starts.TakeSendable(commands)
				h.want("commands sent after the cancellation", len(sendable), test.sendable)
				h.want("forbidden starts", len(forbidden), 0)
				h.want("allocations", h.core.jobs.list[0].progress.allocated, test.allocated)
				h.want("direct commands with stops", len(h.sentCommands), test.stops)
				h.want("job status", h.jobStatus("job-1"), wire.JobCancelled)
			})
		}
	}
}

// startInCommand submits job-1 and returns the direct command with the start of its task.
func startInCommand(h *harness) (StartDeliveries, []wire.Command) {
	h.submit(newTestJob("job-1", 1, 1))
	effect := h.sentCommands[0]
	return effect.Starts, effect.Request.Commands
}

// startInResponse submits job-1 and returns the commands of the heartbeat response with the start
// of its task.
func startInResponse(h *harness) (StartDeliveries, []wire.Command) {
	h.holdWrites = true
	h.submit(newTestJob("job-1", 1, 1))
	h.recentEffects = nil
	h.step(HeartbeatEvent{Heartbeat: h.newHeartbeat("vm-1", termToken), ReplyTo: testRecipient("w")})
	h.releaseWrites()
	for _, effect := range h.recentEffects {
		if reply, ok := effect.(HeartbeatReply); ok && len(reply.Starts) > 0 {
			return reply.Starts, reply.Response.Commands
		}
	}
	h.t.Fatal("no response carries the start")
	return nil, nil
}

// TestWithdrawnCommandDoesNotSuspendStarts: a withdrawn command does not show that its machine
// can't be reached, so the next task is started there at once.
func TestWithdrawnCommandDoesNotSuspendStarts(t *testing.T) {
	h := newHarness(t, ledger.Snapshot{})
	h.bringUp("vm-1")
	starts, commands := startInCommand(h)
	starts.Defer()
	h.step(CancelRequest{JobID: "job-1", ReplyTo: testRecipient("u")})
	starts.TakeSendable(commands)
	h.completeCommands(CommandWithdrawn)
	h.submit(newTestJob("job-2", 1, 1))
	h.want("starts of the next job", len(h.startCommands()), 1)
}

// TestStartDeliveries: when commands are sent, withdrawn starts are left out, starts that the core
// failed to withdraw are held back and reported, and other commands are not affected.
func TestStartDeliveries(t *testing.T) {
	stop, start := wire.Command{Verb: wire.VerbStop, Attempt: 1}, wire.Command{Verb: wire.VerbStart, Attempt: 2}
	cases := []struct {
		name                string
		prepare             func(d *StartDelivery, job *jobEnd)
		sendable, forbidden int
	}{
		{"sent at once", func(*StartDelivery, *jobEnd) {}, 2, 0},
		{"deferred", func(d *StartDelivery, _ *jobEnd) { StartDeliveries{d}.Defer() }, 2, 0},
		{"withdrawn", func(d *StartDelivery, _ *jobEnd) { StartDeliveries{d}.Defer(); d.withdraw() }, 1, 0},
		{"withdrawn, and its job's cancellation confirmed", func(d *StartDelivery, job *jobEnd) {
			StartDeliveries{d}.Defer()
			d.withdraw()
			job.confirm()
		}, 1, 0},
		{"not withdrawn, and its job's cancellation confirmed", func(d *StartDelivery, job *jobEnd) {
			StartDeliveries{d}.Defer()
			job.confirm()
		}, 1, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var delivery StartDelivery
			job := jobEnd{state: wire.JobCancelled}
			delivery.forbidWhen(&job.cancellationConfirmed)
			test.prepare(&delivery, &job)
			sendable, forbidden := StartDeliveries{&delivery}.TakeSendable([]wire.Command{stop, start})
			if len(sendable) != test.sendable || len(forbidden) != test.forbidden {
				t.Errorf("wrong numbers of commands: sendable %v, forbidden %v", sendable, forbidden)
			}
			if delivery.withdraw() == (test.sendable == 2) {
				t.Error("withdraw reports true for a start that was sent, or false for one that was not")
			}
		})
	}
}

// TestStartIsEitherSentOrWithdrawn guards against a start that is sent although the core counts it
// as withdrawn: of a concurrent send and withdrawal exactly one succeeds.
func TestStartIsEitherSentOrWithdrawn(t *testing.T) {
	for range 2000 {
		var delivery StartDelivery
		StartDeliveries{&delivery}.Defer()
		sent := make(chan bool)
		go func() { sent <- delivery.decideSend() == sendAllowed }()
		withdrawn := delivery.withdraw()
		if <-sent == withdrawn {
			t.Fatalf("sent and withdrawn are both %v, want exactly one", withdrawn)
		}
	}
}
