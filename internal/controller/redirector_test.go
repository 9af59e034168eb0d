package controller

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestRedirectedAgents: a leader with more than its share of the agents redirects some of them to
// controllers that forward heartbeats. It does not redirect an agent again within the cooldown, since
// the agent may be unable to reach those controllers.
func TestRedirectedAgents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		redirector := newRedirector()
		go redirector.run(t.Context())
		redirect := func(machine string, open int) string {
			time.Sleep(redirectInterval)
			return redirector.target(t.Context(), machine, open, 90)
		}
		check := func(name, got, want string) {
			t.Helper()
			if got != want {
				t.Errorf("%s: redirected to %q, want %q", name, got, want)
			}
		}
		check("no controller forwards heartbeats", redirect("vm-1", 90), "")
		stream, disconnect := context.WithCancel(t.Context())
		redirector.addForwarder(stream, "n1")
		redirector.addForwarder(t.Context(), "n2")
		synctest.Wait()
		check("as many connections as the leader keeps", redirect("vm-1", 23), "")
		check("one connection more", redirect("vm-1", 24), "n2")
		check("the same agent within the cooldown", redirect("vm-1", 24), "")
		check("another agent, to the next controller", redirect("vm-2", 24), "n1")
		check("a second agent within the redirect interval", redirector.target(t.Context(), "vm-3", 24, 90), "")
		disconnect()
		synctest.Wait()
		check("after one of two forwarders has disconnected", redirect("vm-3", 90), "n2")
		check("the next agent after the disconnect", redirect("vm-4", 90), "n2")
		time.Sleep(redirectCooldown)
		check("the same agent after the cooldown", redirect("vm-1", 90), "n2")
	})
}
