package fake

import (
	"testing"
	"time"

	"leadproxy/internal/wire"
)

// TestCheckerWaiting checks that the checker detects a job that waits despite free capacity, and
// does not report jobs that wait for capacity or because of their team's limit.
func TestCheckerWaiting(t *testing.T) {
	zone := "b"
	testChecker(t, []checkerCase{
		{"a job waits despite free capacity", "left_waiting", func(s *scenario) {
			s.submit("job-1", 1, nil)
			faultFreeSince := time.Now()
			for range 11 {
				s.CheckInvariants(faultFreeSince, []FreeCapacity{{Type: "m", Zone: "a", CPUs: 2, MemGB: 2}})
				time.Sleep(10 * time.Second)
			}
		}},
		{"jobs wait without free capacity that they can use", "", func(s *scenario) {
			s.submit("job-1", 1, nil)
			s.submit("job-2", 1, func(j *wire.Job) { j.Zone = &zone })
			s.submit("job-3", 1, func(j *wire.Job) { j.Spot = false })
			faultFreeSince := time.Now()
			for range 30 {
				s.CheckInvariants(faultFreeSince, []FreeCapacity{{Type: "m", Zone: "a", CPUs: 1, MemGB: 2, Spot: true}, {Type: "m", Zone: "a", CPUs: 2, Spot: true}})
				time.Sleep(10 * time.Second)
			}
		}},
		{"a job waits because its team has reached its CPU limit", "", func(s *scenario) {
			s.submit("job-1", 3, nil)
			s.startTask("job-1/0", "m1", "a")
			s.startTask("job-1/1", "m1", "a")
			faultFreeSince := time.Now()
			for range 30 {
				s.CheckInvariants(faultFreeSince, []FreeCapacity{{Type: "m", Zone: "a", CPUs: 20, MemGB: 20}})
				time.Sleep(10 * time.Second)
			}
		}},
	})
}
