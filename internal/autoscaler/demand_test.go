package autoscaler

import (
	"math"
	"testing"
	"time"
)

func TestDemand(t *testing.T) {
	cases := []struct {
		name     string
		arrivals int           // negative: so many at once
		at       time.Duration // when the demand is estimated, after the last arrival
		mean     float64
	}{
		{"too few to tell", 2, 0, 0},
		{"eight cores for 20 s every 10 s", 600, 0, 16},
		{"the present gap is not yet long", 600, 20 * time.Second, 16},
		{"a long gap counts as what it is", 600, 40 * time.Second, 8},
		{"a first crowd is not taken for a rate", -4, 15 * time.Second, 4 * 160 / 60.0},
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
				t.Errorf("mean %v, deviation %v, want mean %v", mean, deviation, c.mean)
			}
		})
	}
}
