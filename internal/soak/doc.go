// Package soak has randomized fault injection tests of whole deployments: controllers as real
// processes on the loopback interface, fakes of all other systems, and users who submit, cancel and
// query jobs and repeat their requests all the time. A seed determines the schedule of faults. The
// package contains only tests: a short run without a build tag, and a long one with the build tag
// soak.
package soak
