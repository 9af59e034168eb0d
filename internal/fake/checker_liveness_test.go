package fake

import (
	"testing"
	"time"

	"leadproxy/internal/wire"
)

func TestCheckerWaiting(t *testing.T) {
	zone := "b"
	testChecker(t, []checkerCase{
		{"waits although there is free capacity", "left_waiting", func(s *scenario) {
			s.submit("job-1", 1, nil)
			calm := time.Now()
			for range 11 {
				s.CheckInvariants(calm, []FreeCapacity{{Type: "m", Zone: "a", CPUs: 2, MemGB: 2}})
				time.Sleep(10 * time.Second)
			}
		}},
		{"waits without free capacity", "", func(s *scenario) {
			s.submit("job-1", 1, nil)
			s.submit("job-2", 1, func(j *wire.Job) { j.Zone = &zone })
			s.submit("job-3", 1, func(j *wire.Job) { j.Spot = false })
			calm := time.Now()
			for range 30 {
				s.CheckInvariants(calm, []FreeCapacity{{Type: "m", Zone: "a", CPUs: 1, MemGB: 2, Spot: true}, {Type: "m", Zone: "a", CPUs: 2, Spot: true}})
				time.Sleep(10 * time.Second)
			}
		}},
		{"waits since its team is at its limit", "", func(s *scenario) {
			s.submit("job-1", 3, nil)
			s.startTask("job-1/0", "m1", "a")
			s.startTask("job-1/1", "m1", "a")
			calm := time.Now()
			for range 30 {
				s.CheckInvariants(calm, []FreeCapacity{{Type: "m", Zone: "a", CPUs: 20, MemGB: 20}})
				time.Sleep(10 * time.Second)
			}
		}},
	})
}
