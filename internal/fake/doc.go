// Package fake has test doubles of the systems around a controller: the network, the key-value
// store, the cloud, the agents on its machines, and the users. They implement the protocols and
// support the injection of faults that occur in the real systems. A Checker records what the fakes
// observe and checks the invariants of the service.
package fake
