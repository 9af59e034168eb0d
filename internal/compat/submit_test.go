//go:build upgrade

package compat

import (
	"fmt"
	"math/rand/v2"
	"time"

	"leadproxy/internal/fake"
	"leadproxy/internal/wire"
)

// submitJobs has users submit jobs, and cancel some, until stop is called.
func (d *deployment) submitJobs() (stop func()) {
	ended := make(chan struct{})
	d.users.Go(func() {
		r := rand.New(rand.NewPCG(2, 2))
		for k := 0; ; k++ {
			j := fake.NewJob(fmt.Sprintf("job-%06d", k), 1+r.IntN(4), func(j *wire.Job) {
				if k%3 == 0 {
					j.Team = "tight"
				}
			})
			d.users.Submit(j)
			if k%4 == 0 {
				after := time.Duration(r.Int64N(int64(4 * time.Second)))
				d.users.Go(func() {
					time.Sleep(after)
					d.users.Cancel(j)
				})
			}
			select {
			case <-ended:
				return
			case <-time.After(400 * time.Millisecond):
			}
		}
	})
	return func() { close(ended) }
}
