// Package compat tests that this version and the production version, whose commit deploy/service.toml
// names, can read each other's data and run side by side.
//
// The tests without a build tag read recordings of what the production version writes and sends
// (testdata/production). The tests with the build tag upgrade build the production version from the
// repository's history and run real processes of both versions on the loopback interface, with fakes
// of the external systems:
//
//	go test -tags upgrade -count 1 -timeout 10m ./internal/compat
//
// With -record, TestRecordProduction rewrites the recordings.
package compat
