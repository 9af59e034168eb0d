// Package autoscaler is the client of the cloud, the estimate of demand and the planner of
// scale-out. The client's goroutine owns the cloud's rate budget. Plan, which decides what to
// rent, and DemandEstimator are pure. Scale-in is decided by the scheduler.
package autoscaler
