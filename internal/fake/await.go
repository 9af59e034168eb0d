package fake

import (
	"testing"
	"time"
)

// WaitFor waits for a condition, and fails the test when it does not become true in time.
func WaitFor(t testing.TB, what string, limit time.Duration, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Errorf("not within %s: %s", limit, what)
}
