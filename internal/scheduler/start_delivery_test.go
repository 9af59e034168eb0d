package scheduler

import (
	"testing"

	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// TestStartIsWithdrawnUntilSent guards against starts that are sent after their job's cancellation:
// a start that waits, in a response or for a direct command, never leaves then and its room is free
// at once; one that has left is stopped.
func TestStartIsWithdrawnUntilSent(t *testing.T) {
	cases := []struct {
		name      string
		sent      bool // before the cancellation
		sendable  int  // commands that leave after it
		allocated int
		stops     int
	}{
		{"it waits", false, 0, 0, 0},
		{"it has left", true, 1, 1, 1},
	}
	for _, c := range cases {
		for name, deliver := range map[string]func(g *harness) (StartDeliveries, []wire.Command){"command": startInCommand, "response": startInResponse} {
			t.Run(c.name+" in a "+name, func(t *testing.T) {
				g := newHarness(t, ledger.Snapshot{})
				g.bringUp("vm-1")
				starts, commands := deliver(g)
				starts.Defer()
				if c.sent {
					starts.TakeSendable(commands)
				}
				g.sentCommands = nil
				g.step(CancelRequest{JobID: "job-1", ReplyTo: testRecipient("u")})
				sendable, forbidden := starts.TakeSendable(commands)
				g.want("sent after the cancellation", len(sendable), c.sendable)
				g.want("forbidden", len(forbidden), 0)
				g.want("allocations", g.core.jobs.list[0].progress.allocated, c.allocated)
				g.want("direct commands with stops", len(g.sentCommands), c.stops)
				g.want("state", g.jobStatus("job-1"), wire.JobCancelled)
			})
		}
	}
}

// startInCommand has a task of job-1 started by a direct command.
func startInCommand(g *harness) (StartDeliveries, []wire.Command) {
	g.submit(newTestJob("job-1", 1, 1))
	effect := g.sentCommands[0]
	return effect.Starts, effect.Request.Commands
}

// startInResponse has a task of job-1 started in the response to a heartbeat.
func startInResponse(g *harness) (StartDeliveries, []wire.Command) {
	g.holdWrites = true
	g.submit(newTestJob("job-1", 1, 1))
	g.recentEffects = nil
	g.step(HeartbeatEvent{Heartbeat: g.newHeartbeat("vm-1", termToken), ReplyTo: testRecipient("w")})
	g.releaseWrites()
	for _, effect := range g.recentEffects {
		if reply, ok := effect.(HeartbeatReply); ok && len(reply.Starts) > 0 {
			return reply.Starts, reply.Response.Commands
		}
	}
	g.t.Fatal("no response carries the start")
	return nil, nil
}

// TestWithdrawnCommandDoesNotSuspendStarts guards against a machine that is avoided because a command to
// it was withdrawn: it says nothing about the machine, which takes the next start at once.
func TestWithdrawnCommandDoesNotSuspendStarts(t *testing.T) {
	g := newHarness(t, ledger.Snapshot{})
	g.bringUp("vm-1")
	starts, commands := startInCommand(g)
	starts.Defer()
	g.step(CancelRequest{JobID: "job-1", ReplyTo: testRecipient("u")})
	starts.TakeSendable(commands)
	g.completeCommands(CommandWithdrawn)
	g.submit(newTestJob("job-2", 1, 1))
	g.want("starts of the next job", len(g.startCommands()), 1)
}

// TestStartDeliveries guards the decision at the moment of sending: what was withdrawn stays, what
// the core failed to withdraw is held back and reported, and other commands are not affected.
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
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var delivery StartDelivery
			job := jobEnd{state: wire.JobCancelled}
			delivery.forbidWhen(&job.cancellationConfirmed)
			c.prepare(&delivery, &job)
			sendable, forbidden := StartDeliveries{&delivery}.TakeSendable([]wire.Command{stop, start})
			if len(sendable) != c.sendable || len(forbidden) != c.forbidden {
				t.Errorf("sendable %v, forbidden %v", sendable, forbidden)
			}
			if delivery.withdraw() == (c.sendable == 2) {
				t.Error("a start that was sent counts as withdrawn, or the other way round")
			}
		})
	}
}

// TestStartIsEitherSentOrWithdrawn guards against a start that is sent although the core counts it
// as withdrawn: of the two, called at the same moment, exactly one succeeds.
func TestStartIsEitherSentOrWithdrawn(t *testing.T) {
	for range 2000 {
		var delivery StartDelivery
		StartDeliveries{&delivery}.Defer()
		sent := make(chan bool)
		go func() { sent <- delivery.decideSend() == sendAllowed }()
		withdrawn := delivery.withdraw()
		if <-sent == withdrawn {
			t.Fatalf("sent and withdrawn are both %v", withdrawn)
		}
	}
}
