// Package rolloutpb is generated from rollout.proto. Names and numbers stay as they are,
// since versions run side by side.
package rolloutpb
