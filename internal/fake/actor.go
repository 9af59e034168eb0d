package fake

import "testing"

// actor runs functions one at a time on a goroutine of its own, the only one that accesses the
// state of the type that embeds it.
type actor struct {
	work chan func()
	stop <-chan struct{}
}

// newActor starts an actor. A test cleanup stops it, after the cleanups of everything that the test
// creates later.
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

// do runs f on the actor's goroutine and waits for it to return. It does nothing once the actor has
// been stopped. f must not call do.
func (a actor) do(f func()) {
	done := make(chan struct{})
	select {
	case a.work <- func() { f(); close(done) }:
		<-done
	case <-a.stop:
	}
}
