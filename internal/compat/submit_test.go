//go:build upgrade

package compat

import (
	"fmt"
	"math/rand/v2"
	"time"

	"leadproxy/internal/fake"
	"leadproxy/internal/wire"
)

// submitJobs makes users submit jobs, and cancel some of them, until stop is called.
func (d *deployment) submitJobs() (stop func()) {
	stopped := make(chan struct{})
	d.users.Go(func() {
		random := rand.New(rand.NewPCG(2, 2))
		for i := 0; ; i++ {
			j := fake.NewJob(fmt.Sprintf("job-%06d", i), 1+random.IntN(4), func(j *wire.Job) {
				if i%3 == 0 {
					j.Team = "tight"
				}
			})
			d.users.Submit(j)
			if i%4 == 0 {
				delay := time.Duration(random.Int64N(int64(4 * time.Second)))
				d.users.Go(func() {
					time.Sleep(delay)
					d.users.Cancel(j)
				})
			}
			select {
			case <-stopped:
				return
			case <-time.After(400 * time.Millisecond):
			}
		}
	})
	return func() { close(stopped) }
}
