package autoscaler

import (
	"math"
	"testing"
	"time"
)

// TestDemand checks the estimate for jobs of 8 cores and 20 s that arrive every 10 s or all at once.
func TestDemand(t *testing.T) {
	cases := []struct {
		name     string
		arrivals int           // if negative, the number of jobs that arrive all at once
		at       time.Duration // time of the estimate after the last arrival
		mean     float64       // expected cores
	}{
		{"too few arrivals", 2, 0, 0},
		{"eight cores for 20 s every 10 s", 600, 0, 16},
		{"the current gap is twice the mean", 600, 20 * time.Second, 16},
		{"a longer current gap lowers the rate", 600, 40 * time.Second, 8},
		{"a backlog at the start is not taken for a rate", -4, 15 * time.Second, 4 * 160 / 60.0},
		{"a quiet period ends the demand", 600, 61 * time.Second, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var estimator DemandEstimator
			now := time.Duration(0)
			gap := 10 * time.Second
			if c.arrivals < 0 {
				c.arrivals, gap = -c.arrivals, 0
			}
			for range c.arrivals {
				now += gap
				estimator.ObserveArrival(now, 8, 20)
			}
			mean, deviation := Demand(now+c.at, []DemandEstimator{estimator, {}})
			if math.Abs(mean-c.mean) > 0.02*c.mean || math.Abs(deviation-math.Sqrt(c.mean*8)) > 0.02*deviation {
				t.Errorf("mean %v, deviation %v, want mean %v and the square root of 8 times that as the deviation", mean, deviation, c.mean)
			}
		})
	}
}
