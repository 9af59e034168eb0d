// Package cellpb is generated from cell.proto: the messages that cells send one another.
// Names and numbers stay as they are, since versions run side by side.
package cellpb
