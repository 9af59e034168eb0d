// Package soak has randomized fault injection tests of whole deployments: controllers as real
// processes on the loopback interface, fakes of all other systems, and users who submit, cancel, query
// and repeat throughout. A seed determines the schedule of faults. The package has no code beyond its
// tests; a short run is among the ordinary tests, the long one has the build tag soak.
package soak
