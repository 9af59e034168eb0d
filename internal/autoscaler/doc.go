// Package autoscaler contains the client of the cloud's API, the demand estimator and the scale-out
// planner. The client's goroutine owns this controller's share of the cloud's rate limit. Plan,
// which decides what to rent, and DemandEstimator do no I/O and read no clock. Scale-in is decided
// by package scheduler.
package autoscaler
