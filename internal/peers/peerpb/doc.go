// Package peerpb is generated from peer.proto: the messages that controllers exchange. Names and
// numbers must not change, since different versions run side by side.
package peerpb
