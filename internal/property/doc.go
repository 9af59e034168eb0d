// Package property has test helpers that several packages share: the settings of property-based tests,
// golden files of wire and storage formats, and mutation tests.
package property
