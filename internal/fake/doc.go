// Package fake has test doubles for the systems around a controller: the network, the key-value
// store, the cloud and its workers, and the users. They implement the protocols and can be given
// faults that the real systems have (fault injection). A Checker records what they observe and
// checks the service's invariants against it.
package fake
