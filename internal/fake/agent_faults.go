package fake

import (
	"context"
	"time"
)

// SetHung makes the machine stand still, or resumes it.
func (w *Agent) SetHung(on bool) {
	w.do(func() {
		switch {
		case on && w.hung == nil:
			w.advanceTasks()
			w.hung = make(chan struct{})
		case !on && w.hung != nil:
			close(w.hung)
			w.hung = nil
			w.lastTick = time.Now()
			w.expireLease()
		}
	})
}

// SetInboundCut lets the machine's heartbeats arrive while responses and commands to it are lost.
func (w *Agent) SetInboundCut(on bool) { w.do(func() { w.inboundCut = on }) }

// SetOutboundCut makes all controllers unreachable for the machine while commands still reach it.
func (w *Agent) SetOutboundCut(on bool) { w.do(func() { w.outboundCut = on }) }

// DuplicateHeartbeats makes a copy of each heartbeat arrive again after a delay; nil ends that.
func (w *Agent) DuplicateHeartbeats(delay func() time.Duration) {
	w.do(func() { w.duplicateDelay = delay })
}

// SaveHeartbeat saves a copy of the current heartbeat, which can be replayed later.
func (w *Agent) SaveHeartbeat() {
	w.do(func() { w.savedHeartbeat = w.encodeHeartbeat(w.newHeartbeat()) })
}

// ReplayHeartbeat sends the saved heartbeat to all controllers.
func (w *Agent) ReplayHeartbeat() {
	var body []byte
	w.do(func() { body = w.savedHeartbeat })
	if body == nil {
		return
	}
	for _, controller := range w.config.Controllers {
		go w.postHeartbeat(controller.Addr, body)
	}
}

// awaitReachable waits while the machine hangs and reports whether a message that was sent to it
// arrives.
func (w *Agent) awaitReachable(ctx context.Context) bool {
	for {
		var hung chan struct{}
		var inboundCut bool
		w.do(func() { hung, inboundCut = w.hung, w.inboundCut })
		switch {
		case inboundCut:
			<-ctx.Done()
			return false
		case hung == nil:
			return w.ctx.Err() == nil
		}
		w.awaitResume(hung)
		if w.ctx.Err() != nil {
			return false
		}
	}
}

// awaitResume waits until a machine that hangs resumes or ends.
func (w *Agent) awaitResume(hung chan struct{}) {
	select {
	case <-hung:
	case <-w.ctx.Done():
	}
}
