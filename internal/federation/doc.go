// Package federation moves whole jobs between the cells of one operator. The cell whose users
// submitted a job is its origin for life. An origin that is short of capacity offers jobs that
// have never been started to a neighbouring cell, which runs them as foreign jobs.
//
// Both sides of a transfer are pure: DelegatedJobs (at the origin) and ForeignJobs (at the
// neighbour) take a message, a response, a durable write or the time, and return effects.
// Neither does I/O, so the same code runs in the leader and under a model checker.
// docs/design-federation.md argues why a job gets one final state and why at most one cell runs it.
package federation
