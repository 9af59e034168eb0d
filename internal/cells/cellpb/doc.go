// Package cellpb is generated from cell.proto, which defines the messages between cells. Names and
// field numbers must not change, because cells of different versions run side by side.
package cellpb
