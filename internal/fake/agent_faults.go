package fake

import (
	"context"
	"time"

	"leadproxy/internal/wire"
)

// SetHung makes the machine hang or resumes it. While it hangs its tasks make no progress, and it
// neither sends nor processes messages. If the lease expires meanwhile, the tasks end, and a new
// agent epoch begins when the machine resumes.
func (a *Agent) SetHung(on bool) {
	a.do(func() {
		switch {
		case on && a.hung == nil:
			a.advanceTasks()
			a.hung = make(chan struct{})
		case !on && a.hung != nil:
			close(a.hung)
			a.hung = nil
			a.lastTick = time.Now()
			a.expireLease()
		}
	})
}

// SetInboundCut sets whether messages to the machine are lost: responses to heartbeats, and
// commands. Its heartbeats still arrive.
func (a *Agent) SetInboundCut(on bool) { a.do(func() { a.inboundCut = on }) }

// SetOutboundCut sets whether the machine can reach no controller. Commands still reach the
// machine.
func (a *Agent) SetOutboundCut(on bool) { a.do(func() { a.outboundCut = on }) }

// NoticeTermination gives the machine a notice that it will be terminated after the given time. The
// caller terminates it.
func (a *Agent) NoticeTermination(after time.Duration) {
	a.do(func() {
		a.terminationAt = time.Now().Add(after)
		a.signalChange()
	})
}

// DuplicateHeartbeats makes the agent send a copy of each heartbeat after a delay; nil stops it.
func (a *Agent) DuplicateHeartbeats(delay func() time.Duration) {
	a.do(func() { a.duplicateDelay = delay })
}

// SaveHeartbeat saves a heartbeat with the current state for ReplayHeartbeat.
func (a *Agent) SaveHeartbeat() {
	a.do(func() { a.savedHeartbeat = a.encodeHeartbeat(a.newHeartbeat()) })
}

// ReplayHeartbeat sends the saved heartbeat, if any, to all controllers.
func (a *Agent) ReplayHeartbeat() {
	var body []byte
	a.do(func() { body = a.savedHeartbeat })
	if body == nil {
		return
	}
	for _, controller := range a.config.Controllers {
		go a.postHeartbeat(controller.Addr, body)
	}
}

// awaitReachable blocks while the machine hangs, and then reports whether a message to it arrives.
// While inbound messages are cut it blocks until ctx ends and returns false.
func (a *Agent) awaitReachable(ctx context.Context) bool {
	for {
		var hung chan struct{}
		var inboundCut bool
		a.do(func() { hung, inboundCut = a.hung, a.inboundCut })
		switch {
		case inboundCut:
			<-ctx.Done()
			return false
		case hung == nil:
			return a.ctx.Err() == nil
		}
		a.awaitResume(hung)
		if a.ctx.Err() != nil {
			return false
		}
	}
}

// awaitResume blocks until a hung machine resumes or ends.
func (a *Agent) awaitResume(hung chan struct{}) {
	select {
	case <-hung:
	case <-a.ctx.Done():
	}
}

// FailTasks ends all running tasks with an error.
func (a *Agent) FailTasks() {
	a.do(func() {
		for _, t := range a.tasks {
			if t.Status == wire.TaskRunning {
				a.failTask(t)
			}
		}
	})
}
