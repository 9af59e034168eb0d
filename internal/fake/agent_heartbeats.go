package fake

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// The intervals and the timeout of heartbeats, as the protocol defines them.
const (
	minHeartbeatInterval = 500 * time.Millisecond // between a heartbeat and an early one
	failoverDelay        = time.Second            // before a heartbeat to the next controller
	responseTimeout      = 4 * time.Second
)

// newHeartbeat returns the next heartbeat and increments the sequence number.
func (a *Agent) newHeartbeat() wire.Heartbeat {
	a.sequence++
	heartbeat := wire.Heartbeat{
		Machine: a.name, Address: a.Addr(), CapacityPool: a.request.CapacityPool,
		AgentEpoch: a.agentEpoch, Sequence: a.sequence, FencingToken: a.fencingToken, Tasks: []wire.TaskStatus{},
	}
	if !a.terminationAt.IsZero() {
		left := max(0, time.Until(a.terminationAt).Seconds())
		heartbeat.TerminationNoticeS = &left
	}
	for _, t := range a.tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, t.TaskStatus)
	}
	return heartbeat
}

func (a *Agent) encodeHeartbeat(heartbeat wire.Heartbeat) []byte {
	body, err := json.Marshal(heartbeat)
	if err != nil {
		panic(err) // unreachable: all fields of a heartbeat can be encoded
	}
	return body
}

// signalChange causes an early heartbeat, so that a change is reported soon.
func (a *Agent) signalChange() {
	select {
	case a.changeSignal <- struct{}{}:
	default:
	}
}

// awaitNextHeartbeat blocks until the next heartbeat is due: an interval after the last one, or
// after a change, but at least minHeartbeatInterval after the last one.
func (a *Agent) awaitNextHeartbeat(last time.Time, interval time.Duration) {
	regular := time.NewTimer(time.Until(last.Add(interval)))
	defer regular.Stop()
	select {
	case <-regular.C:
	case <-a.changeSignal:
		transport.Pause(a.ctx, time.Until(last.Add(minHeartbeatInterval)))
	case <-a.ctx.Done():
	}
}

// sendHeartbeats sends heartbeats until the machine ends. As the protocol requires, it tries one
// controller after the other until one accepts heartbeats, and stays with it as long as it does.
// Intervals vary randomly by 25% around HeartbeatInterval.
func (a *Agent) sendHeartbeats() {
	current := a.random.IntN(len(a.config.Controllers))
	var last time.Time
	for a.ctx.Err() == nil {
		interval := time.Duration(float64(a.config.HeartbeatInterval) * (0.75 + a.random.Float64()/2))
		a.awaitNextHeartbeat(last, interval)
		var hung chan struct{}
		var outboundCut bool
		a.do(func() { hung, outboundCut = a.hung, a.outboundCut })
		if hung != nil {
			a.awaitResume(hung)
			continue
		}
		last = time.Now()
		var result heartbeatResult
		if !outboundCut {
			result = a.sendHeartbeat(a.config.Controllers[current].Addr, last)
		}
		if result.accepted {
			continue
		}
		last = time.Time{}
		var delay time.Duration
		current, delay = a.nextController(current, result.leader)
		transport.Pause(a.ctx, delay)
	}
}

// nextController returns the index of the controller to try after one that did not accept a
// heartbeat, and the delay before that: the leader after a short random delay if the response named
// it, otherwise the next controller in the list after failoverDelay.
func (a *Agent) nextController(current int, leader string) (next int, delay time.Duration) {
	leaderIndex := slices.IndexFunc(a.config.Controllers, func(c ControllerAddress) bool { return c.Name == leader })
	if leaderIndex >= 0 && leaderIndex != current {
		return leaderIndex, time.Duration(a.random.Int64N(int64(minHeartbeatInterval)))
	}
	return (current + 1) % len(a.config.Controllers), failoverDelay
}

// heartbeatResult is the result of sending a heartbeat to a controller.
type heartbeatResult struct {
	accepted bool
	leader   string // the leader's name in a redirect; empty: none
}

// sendHeartbeat sends the next heartbeat to a controller and applies the response.
func (a *Agent) sendHeartbeat(addr string, sentAt time.Time) heartbeatResult {
	outgoing := a.prepareHeartbeat()
	if outgoing.duplicateDelay != nil {
		a.sendDuplicate(addr, outgoing.body, outgoing.duplicateDelay())
	}
	response, err := a.postHeartbeat(addr, outgoing.body)
	if !a.awaitResponse(sentAt) || err != nil {
		return heartbeatResult{}
	}
	switch response.Status {
	case http.StatusOK:
		return heartbeatResult{accepted: a.applyResponse(outgoing.Heartbeat, sentAt, response.Body)}
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

// prepareHeartbeat returns the next heartbeat to send. It has all changes so far, so it clears
// changeSignal.
func (a *Agent) prepareHeartbeat() (outgoing outgoingHeartbeat) {
	a.do(func() {
		outgoing.Heartbeat = a.newHeartbeat()
		outgoing.duplicateDelay = a.duplicateDelay
		select {
		case <-a.changeSignal:
		default:
		}
		outgoing.body = a.encodeHeartbeat(outgoing.Heartbeat)
	})
	return outgoing
}

// sendDuplicate sends a copy of a heartbeat after a delay and ignores the response.
func (a *Agent) sendDuplicate(addr string, body []byte, delay time.Duration) {
	go func() {
		transport.Pause(a.ctx, delay)
		if a.ctx.Err() == nil {
			a.postHeartbeat(addr, body)
		}
	}()
}

// awaitResponse reports whether a response that a controller has sent arrives within
// responseTimeout of the heartbeat. It is lost if inbound messages are cut. If the machine hangs,
// the response arrives when the machine resumes.
func (a *Agent) awaitResponse(sentAt time.Time) bool {
	var hung chan struct{}
	var inboundCut bool
	a.do(func() { hung, inboundCut = a.hung, a.inboundCut })
	if inboundCut {
		transport.Pause(a.ctx, max(0, responseTimeout-time.Since(sentAt)))
		return false
	}
	if hung != nil {
		a.awaitResume(hung)
	}
	return time.Since(sentAt) <= responseTimeout
}

// applyResponse renews the lease and executes the commands of a response, unless the response is
// stale. It reports whether the body is a valid response; a stale one is.
func (a *Agent) applyResponse(heartbeat wire.Heartbeat, sentAt time.Time, body []byte) bool {
	var response wire.HeartbeatResponse
	if json.Unmarshal(body, &response) != nil {
		return false
	}
	a.do(func() {
		a.expireLease()
		if a.ctx.Err() != nil || response.FencingToken < a.fencingToken || heartbeat.AgentEpoch != a.agentEpoch {
			return // stale response
		}
		a.raiseFencingToken(response.FencingToken)
		a.leaseRenewedAt = sentAt
		a.config.Checker.RecordLeaseRenewal(a.name, sentAt, heartbeat.Tasks, response.Commands)
		a.executeCommands(response.Commands)
	})
	return true
}

// postHeartbeat sends an encoded heartbeat to a controller.
func (a *Agent) postHeartbeat(addr string, body []byte) (transport.Response, error) {
	conn := transport.NewConn(a.net, addr)
	defer conn.Close()
	deadline := time.Now().Add(responseTimeout)
	if err := conn.Open(a.ctx, responseTimeout); err != nil {
		return transport.Response{}, err
	}
	return conn.Do(deadline, transport.Request{Method: http.MethodPost, Path: "/v1/report", Body: body})
}
