// Package hintpb is generated from hints.proto. Names and numbers must not change, since
// different versions run side by side.
package hintpb
