// Package capability negotiates what the controllers of a deployment may use while two
// versions of the program run side by side. Each controller announces its level once, in the
// key-value store. A new kind of record or request is used only when every controller has
// announced that it supports it: an unanswered request proves nothing about a controller's
// version.
//
// The package does not know what the capabilities change. Their users call Negotiator.AllSupport.
package capability

// The capabilities, in the order in which they were introduced. A version supports all up to its
// own level.
const (
	// Pipelines is the level with jobs that depend on others, the finished tasks of a job in
	// several records, and host keys of any length.
	Pipelines = 1
	// Transfers is the level with jobs that are delegated to another cell, which an older version
	// would start, and foreign jobs.
	Transfers = 2
	// CurrentLevel is the level of this version.
	CurrentLevel = Transfers
)
