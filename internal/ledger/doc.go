// Package ledger persists the leader's state in the key-value store: accepted jobs with their
// finished tasks and hosts, machines, scale-outs, drain plans and transfers between cells. A
// leader reads all of it once, at the start of its term. Every write of a Ledger is conditional
// on that term, so none is applied after another term has begun. The package makes no
// scheduling decisions.
package ledger
