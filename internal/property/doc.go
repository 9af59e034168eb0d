// Package property has helpers for tests that more than one package uses: the settings of
// property-based tests, golden files of what travels or is stored, and mutation tests.
package property
