package fake

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// The times of heartbeats, by the protocol.
const (
	minHeartbeatInterval = 500 * time.Millisecond
	failoverDelay        = time.Second // before a heartbeat to the next controller
	responseTimeout      = 4 * time.Second
)

// newHeartbeat makes the next heartbeat.
func (w *Agent) newHeartbeat() wire.Heartbeat {
	w.sequence++
	heartbeat := wire.Heartbeat{
		Machine: w.name, Address: w.Addr(), CapacityPool: w.request.CapacityPool,
		AgentEpoch: w.agentEpoch, Sequence: w.sequence, FencingToken: w.fencingToken, Tasks: []wire.TaskStatus{},
	}
	for _, t := range w.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, t.TaskStatus)
	}
	return heartbeat
}

func (w *Agent) encodeHeartbeat(heartbeat wire.Heartbeat) []byte {
	body, err := json.Marshal(heartbeat)
	if err != nil {
		panic(err) // it is made of encodable values alone
	}
	return body
}

// signalChange causes an early heartbeat.
func (w *Agent) signalChange() {
	select {
	case w.changeSignal <- struct{}{}:
	default:
	}
}

// awaitNextHeartbeat waits until the next heartbeat is due: an interval after the last one, or
// earlier when something has changed.
func (w *Agent) awaitNextHeartbeat(last time.Time, interval time.Duration) {
	regular := time.NewTimer(time.Until(last.Add(interval)))
	defer regular.Stop()
	select {
	case <-regular.C:
	case <-w.changeSignal:
		transport.Pause(w.ctx, time.Until(last.Add(minHeartbeatInterval)))
	case <-w.ctx.Done():
	}
}

// sendHeartbeats sends heartbeats to one controller after the other, as the protocol requires,
// until one accepts them, and then stays with that one.
func (w *Agent) sendHeartbeats() {
	current := w.random.IntN(len(w.config.Controllers))
	var last time.Time
	for w.ctx.Err() == nil {
		interval := time.Duration(float64(w.config.HeartbeatInterval) * (0.75 + w.random.Float64()/2))
		w.awaitNextHeartbeat(last, interval)
		var hung chan struct{}
		var outboundCut bool
		w.do(func() { hung, outboundCut = w.hung, w.outboundCut })
		if hung != nil {
			w.awaitResume(hung)
			continue
		}
		last = time.Now()
		var result heartbeatResult
		if !outboundCut {
			result = w.sendHeartbeat(w.config.Controllers[current].Addr, last)
		}
		if result.accepted {
			continue
		}
		last = time.Time{}
		var delay time.Duration
		current, delay = w.nextController(current, result.leader)
		transport.Pause(w.ctx, delay)
	}
}

// nextController returns the index of the controller to send to after one that did not accept, and
// after what delay: the leader soon, if one was named, otherwise the next in the list.
func (w *Agent) nextController(current int, leader string) (next int, delay time.Duration) {
	at := slices.IndexFunc(w.config.Controllers, func(n ControllerAddress) bool { return n.Name == leader })
	if at >= 0 && at != current {
		return at, time.Duration(w.random.Int64N(int64(minHeartbeatInterval)))
	}
	return (current + 1) % len(w.config.Controllers), failoverDelay
}

// heartbeatResult is the result of sending a heartbeat to a controller.
type heartbeatResult struct {
	accepted bool
	leader   string // the controller that a redirect names
}

// sendHeartbeat sends a heartbeat to a controller and applies the response.
func (w *Agent) sendHeartbeat(addr string, sentAt time.Time) heartbeatResult {
	outgoing := w.prepareHeartbeat()
	if outgoing.duplicateDelay != nil {
		w.sendDuplicate(addr, outgoing.body, outgoing.duplicateDelay())
	}
	response, err := w.postHeartbeat(addr, outgoing.body)
	if !w.awaitResponse(sentAt) || err != nil {
		return heartbeatResult{}
	}
	switch response.Status {
	case http.StatusOK:
		return heartbeatResult{accepted: w.applyResponse(outgoing.Heartbeat, sentAt, response.Body)}
	case http.StatusMisdirectedRequest:
		var redirect wire.Redirect
		if json.Unmarshal(response.Body, &redirect) == nil {
			return heartbeatResult{leader: redirect.Leader}
		}
	}
	return heartbeatResult{}
}

// outgoingHeartbeat is a heartbeat that is being sent.
type outgoingHeartbeat struct {
	wire.Heartbeat
	body           []byte
	duplicateDelay func() time.Duration // nil: no duplicate is sent
}

// prepareHeartbeat makes the next heartbeat to send, which has all changes so far.
func (w *Agent) prepareHeartbeat() (outgoing outgoingHeartbeat) {
	w.do(func() {
		outgoing.Heartbeat = w.newHeartbeat()
		outgoing.duplicateDelay = w.duplicateDelay
		select {
		case <-w.changeSignal:
		default:
		}
		outgoing.body = w.encodeHeartbeat(outgoing.Heartbeat)
	})
	return outgoing
}

// sendDuplicate sends a heartbeat once more after a delay.
func (w *Agent) sendDuplicate(addr string, body []byte, delay time.Duration) {
	go func() {
		transport.Pause(w.ctx, delay)
		if w.ctx.Err() == nil {
			w.postHeartbeat(addr, body)
		}
	}()
}

// awaitResponse reports whether a response arrives in time, after one was sent: not when inbound
// messages are cut, and only when the machine resumes if it hangs.
func (w *Agent) awaitResponse(sentAt time.Time) bool {
	var hung chan struct{}
	var inboundCut bool
	w.do(func() { hung, inboundCut = w.hung, w.inboundCut })
	if inboundCut {
		transport.Pause(w.ctx, max(0, responseTimeout-time.Since(sentAt)))
		return false
	}
	if hung != nil {
		w.awaitResume(hung)
	}
	return time.Since(sentAt) <= responseTimeout
}

// applyResponse renews the lease and executes the commands of a response, unless it is stale. It
// reports whether it is a response.
func (w *Agent) applyResponse(heartbeat wire.Heartbeat, sentAt time.Time, body []byte) bool {
	var response wire.HeartbeatResponse
	if json.Unmarshal(body, &response) != nil {
		return false
	}
	w.do(func() {
		w.expireLease()
		if w.ctx.Err() != nil || response.FencingToken < w.fencingToken || heartbeat.AgentEpoch != w.agentEpoch {
			return // it is stale
		}
		w.raiseFencingToken(response.FencingToken)
		w.leaseRenewedAt = sentAt
		w.config.Checker.RecordLeaseRenewal(w.name, sentAt, heartbeat.Tasks, response.Commands)
		w.executeCommands(response.Commands)
	})
	return true
}

// postHeartbeat sends an encoded heartbeat to a controller.
func (w *Agent) postHeartbeat(addr string, body []byte) (transport.Response, error) {
	conn := transport.NewConn(w.net, addr)
	defer conn.Close()
	deadline := time.Now().Add(responseTimeout)
	if err := conn.Open(w.ctx, responseTimeout); err != nil {
		return transport.Response{}, err
	}
	return conn.Do(deadline, transport.Request{Method: http.MethodPost, Path: "/v1/report", Body: body})
}
