// Package compat tests that this version and the one in production, which is named in
// deploy/service.toml, work on each other's data and beside each other.
//
// The tests that run always read recordings of what production writes and sends
// (testdata/production). Those with the build tag upgrade build production from the
// repository's history and run real processes of both versions on the loopback
// interface, against the fakes of the outside systems:
//
//	go test -tags upgrade -count 1 -timeout 10m ./internal/compat
//
// With -record, TestRecordProduction writes the recordings anew.
package compat
