// Package wire holds the messages of the protocols as they travel, and the checks on what
// comes in: the users' job interface, the workers' heartbeats and commands, the cloud, and the
// key-value store. The names that the protocol gives its fields and values stand in this
// package's tags and constants and nowhere else. The package does no I/O.
package wire
