// Package handoverpb is generated from handover.proto. Names and numbers must not change, since
// different versions run side by side.
package handoverpb
