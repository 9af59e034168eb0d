// Command standins runs one case of the review: it starts the stand-ins of the key-value store, the
// cloud, the agents and the users on loopback addresses, starts the controllers as separate
// processes, and judges what it has seen by a rule of the operators' pages.
//
// Its exit code is 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main
