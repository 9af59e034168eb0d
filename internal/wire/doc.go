// Package wire defines the encoded messages of the protocols, and parses and validates incoming
// ones: the job API, the agents' heartbeats and commands, the cloud API, and the key-value store.
// The protocols' names of fields and values occur only in this package's tags and constants. The
// package does no I/O.
package wire
