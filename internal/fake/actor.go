package fake

import "testing"

// actor runs functions one at a time on its own goroutine, which alone accesses its owner's state.
type actor struct {
	work chan func()
	stop <-chan struct{}
}

// newActor starts an actor. It ends after everything that was created later in the test.
func newActor(t testing.TB) actor {
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	a := actor{make(chan func()), stop}
	go func() {
		for {
			select {
			case f := <-a.work:
				f()
			case <-stop:
				return
			}
		}
	}()
	return a
}

// do runs f on the actor and waits for it, unless the test is over.
func (a actor) do(f func()) {
	done := make(chan struct{})
	select {
	case a.work <- func() { f(); close(done) }:
		<-done
	case <-a.stop:
	}
}
