package controller

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestRedirectedAgents: a leader to which most workers have come redirects some to
// controllers that forward their heartbeats, none of them twice in a row, since it may not
// reach those.
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
		check("no controller forwards", redirect("vm-1", 90), "")
		stream, disconnect := context.WithCancel(t.Context())
		redirector.addForwarder(stream, "n1")
		redirector.addForwarder(t.Context(), "n2")
		synctest.Wait()
		check("as many as the leader keeps", redirect("vm-1", 23), "")
		check("one more", redirect("vm-1", 24), "n2")
		check("the same worker again", redirect("vm-1", 24), "")
		check("the next worker, to the next controller", redirect("vm-2", 24), "n1")
		check("at most one at a time", redirector.target(t.Context(), "vm-3", 24, 90), "")
		disconnect()
		synctest.Wait()
		check("only to a controller that still forwards", redirect("vm-3", 90), "n2")
		check("also the next worker", redirect("vm-4", 90), "n2")
		time.Sleep(redirectCooldown)
		check("much later the same worker again", redirect("vm-1", 90), "n2")
	})
}
