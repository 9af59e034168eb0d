// Package federation transfers whole jobs between the cells of one operator. The cell to which a
// job was submitted remains its origin for the job's lifetime. An origin that is short of capacity
// offers jobs that have never been started to a neighbouring cell, which runs them as foreign jobs.
//
// Both sides of a transfer are deterministic state machines without I/O: DelegatedJobs (at the
// origin) and ForeignJobs (at the neighbour) take messages, answers, completed writes and the time
// as input and return effects, which the caller executes. The same code therefore runs in the
// leader and in model-based tests. docs/design-federation.md argues why a job gets exactly one
// terminal state and why at most one cell runs it.
package federation
