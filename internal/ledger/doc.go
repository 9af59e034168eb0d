// Package ledger keeps the leader's records in the key-value store: the accepted jobs with
// their finished tasks and hosts, machines, scale-outs, drain plans and transfers between
// cells. A leader reads them once at the start of its term, and a Ledger writes them under the
// term: after another term has begun, none of its writes is carried out. The package decides
// nothing about jobs.
package ledger
