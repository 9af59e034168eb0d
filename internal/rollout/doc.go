// Package rollout drains and replaces machines in steps. Disruption budgets limit how many jobs of
// a team or class may be disrupted at a time. The package does no I/O: the caller passes the time
// and the events, makes the records durable and carries out the returned actions.
package rollout
