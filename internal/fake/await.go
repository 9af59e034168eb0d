package fake

import (
	"testing"
	"time"
)

// WaitFor polls a condition until it is true, and fails the test if it is not true within the
// timeout. The description names the condition in the failure message.
func WaitFor(t testing.TB, description string, timeout time.Duration, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Errorf("condition not met within %s: %s", timeout, description)
}
