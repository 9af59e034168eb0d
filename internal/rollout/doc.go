// Package rollout controls how machines are drained and replaced in steps, within disruption
// budgets: which jobs may be disrupted at a time, and the phases of a plan. It is pure: the
// caller passes the time and the events, and carries out the actions that are returned.
package rollout
