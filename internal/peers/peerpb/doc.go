// Package peerpb is generated from peer.proto: the messages that controllers send one
// another. Names and numbers stay as they are, since versions run side by side.
package peerpb
