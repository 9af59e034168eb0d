// Package handoverpb is generated from handover.proto. Names and numbers stay as they are,
// since versions run side by side.
package handoverpb
