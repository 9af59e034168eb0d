// Package hintpb is generated from hints.proto. Names and numbers stay as they are, since
// versions run side by side.
package hintpb
