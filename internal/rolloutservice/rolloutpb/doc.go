// Package rolloutpb is generated from rollout.proto. Names and field numbers must not change,
// because different versions of the program run side by side.
package rolloutpb
