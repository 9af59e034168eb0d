package election

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestExtensionIsGrantedOnlyWithoutStoreAndKey checks that a controller grants an extension only
// when the store does not serve it and it does not hold the leader key, and that it does not act as
// the leader until the extension ends, although it may win an election.
func TestExtensionIsGrantedOnlyWithoutStoreAndKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		e := newElector(f, shortLease)
		if e.GrantExtension(t.Context(), time.Second) {
			t.Error("granted though the store serves this controller")
		}
		f.unavailable = true
		if e.GrantExtension(t.Context(), time.Hour) {
			t.Error("granted for an hour")
		}
		advance(extensionDuration)
		if !e.GrantExtension(t.Context(), extensionDuration) {
			t.Error("not granted though the store is unavailable")
		}
		f.unavailable = false
		go e.Run(t.Context())
		advance(extensionDuration - 100*time.Millisecond)
		if e.View().Elected {
			t.Error("acts as the leader during an extension that it has granted")
		}
		advance(200 * time.Millisecond)
		if !e.View().IsLeader(time.Now()) {
			t.Error("does not act after the extension")
		}
		f.setUnavailable(true)
		if e.GrantExtension(t.Context(), extensionDuration) {
			t.Error("granted while it is the leader")
		}
	})
}

// TestStartedControllerAwaitsExtensionsOfEarlierIncarnation guards against two acting leaders after
// a restart: the earlier incarnation may have granted an extension just before it ended.
func TestStartedControllerAwaitsExtensionsOfEarlierIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startElector(t, newFakeStore())
		advance(extensionDuration - 100*time.Millisecond)
		if e.View().Elected {
			t.Error("acts during an extension that its earlier incarnation may have granted")
		}
		advance(200 * time.Millisecond)
		if !e.View().Elected {
			t.Error("does not act after the extension")
		}
	})
}
