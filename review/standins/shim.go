package main

import (
	"context"
	"fmt"
	"os"
	"testing"
)

// testShim lets the project's fake of the key-value store run outside of a test. It implements only
// the methods that the fake uses.
type testShim struct {
	testing.TB
	ctx      context.Context
	cleanups []func()
}

// Helper implements testing.TB.
func (s *testShim) Helper() {}

// Context implements testing.TB.
func (s *testShim) Context() context.Context { return s.ctx }

// Cleanup implements testing.TB. The functions are called when the program ends.
func (s *testShim) Cleanup(f func()) { s.cleanups = append(s.cleanups, f) }

// Error implements testing.TB.
func (s *testShim) Error(args ...any) { fmt.Fprintln(os.Stderr, args...) }

// Errorf implements testing.TB.
func (s *testShim) Errorf(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) }

// Fatal implements testing.TB.
func (s *testShim) Fatal(args ...any) {
	fmt.Fprintln(os.Stderr, args...)
	os.Exit(exitNotRun)
}
