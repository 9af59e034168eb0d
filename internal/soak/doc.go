// Package soak has randomized fault tests of whole deployments: controllers as real processes
// on the loopback interface, fakes of all else, and users who submit, cancel, ask and repeat
// throughout. A seed names the schedule of troubles. It has no code beyond its tests; a short
// run is among the ordinary tests, the long one has the build tag soak.
package soak
