// Package compat tests that this version and the one in production, which deploy/service.toml names,
// can read each other's data and run at the same time.
//
// The ordinary tests read recordings of what production writes and sends (testdata/production). Those
// with the build tag upgrade build production from the repository's history and run real processes of
// both versions on the loopback interface, with fakes of the other systems:
//
//	go test -tags upgrade -count 1 -timeout 10m ./internal/compat
//
// With -record, TestRecordProduction writes the recordings anew.
package compat
