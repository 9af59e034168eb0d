package lint

// The words that TestProtocolWordsAreNoIdentifiers and its neighbours look for, and the places
// where they may stand.

// forbiddenWords are words of the protocol that have no other meaning in this code, each with
// the term that replaces it. An identifier must not contain one, in singular or plural, also
// not as a part: hireName is as wrong as hire.
//
// Left out are words that are ordinary in other meanings and can't be told apart by their
// spelling: tick (a ticker), epoch (agent epoch, transfer epoch), room (free resources), hold,
// held, when, apply, set, under, from, life, path, data, try, cause, rate, status, verb, order
// (of a queue), snapshot (of the ledger), flush, due, warning, ref. Where such a word is part of
// a JSON name that is unmistakable, forbiddenPairs has it, and a field with its tag must not be
// named like it (TestProtocolFieldsAreNamedByTerms).
var forbiddenWords = map[string]string{
	"aborted":  "cancelled",
	"baton":    "fencing token",
	"boss":     "leader",
	"bundle":   "image",
	"flavor":   "machine type",
	"flushing": "checkpointing",
	"guess":    "estimated run time",
	"hire":     "scale out",
	"hired":    "scaled out, rented",
	"hiring":   "scale out",
	"lane":     "class",
	"loaner":   "spot",
	"news":     "events",
	"orders":   "commands",
	"owner":    "team",
	"piece":    "task",
	"rooms":    "zones",
	"shape":    "kind",
	"stamp":    "version",
	"tenure":   "agent epoch",
	"together": "gang, or at once",
	"urgency":  "priority",
	"vcpu":     "CPUs",
}

// forbiddenPairs are two words in a row that spell a JSON name of the protocol or the store.
var forbiddenPairs = map[[2]string]string{
	{"wind", "down"}:    "grace period",
	{"market", "price"}: "spot price",
	{"startup", "s"}:    "boot time",
	{"guess", "s"}:      "estimated run time",
	{"snapshot", "s"}:   "checkpoint interval",
	{"flush", "s"}:      "checkpoint duration",
	{"due", "s"}:        "deadline",
	{"warning", "s"}:    "termination notice",
	{"held", "s"}:       "age",
	{"life", "ms"}:      "time to live",
	{"has", "next"}:     "more",
	{"waits", "on"}:     "depends on",
}

// protocolNames are JSON names and values of the protocol that say nothing to a reader who
// does not know it. A string literal must not be one of them, outside of wireDirectories.
// Names that are ordinary words elsewhere (status, error, host, address, name, from, limit,
// done, cause, epoch) are left out.
var protocolNames = []string{
	"baton", "tenure", "tick", "boss", "flavor", "flavors", "loaners", "room", "rooms",
	"piece", "pieces", "lane", "owner", "shape", "urgency", "bundle", "size_gb", "vcpus", "mem_gb",
	"cache_gb", "fetch_gb_per_s", "guess_s", "snapshot_s", "flush_s", "due_s", "together",
	"waits_on", "wind_down_s", "verb", "orders", "try", "stored", "warning_s", "hire",
	"held_s", "market_price", "startup_s", "has_next", "stamp", "hold", "when", "apply",
	"life_ms", "news", "under", "wait_ms", "aborted", "flushing", "no_room", "in_use", "no_such",
	"ref", "fate", "over_ms",
}

// ambiguousNames are JSON names of the protocol that are ordinary words elsewhere. A field that
// carries one has the glossary's term as its name.
var ambiguousNames = []string{
	"ref", "room", "rooms", "tick", "epoch", "hold", "stamp", "when", "apply", "under", "path", "data",
	"try", "cause", "stored", "rate", "number", "host", "hosts", "orders", "owner", "shape", "news",
	"vcpus", "size_gb", "guess_s", "snapshot_s", "flush_s", "due_s", "warning_s", "held_s", "startup_s",
	"life_ms", "has_next", "waits_on", "fate", "over_ms",
}

// testDirectories are not checked: they are for tests alone, and play the outside systems, which
// have the protocol's words.
var testDirectories = []string{"internal/compat", "internal/fake", "internal/property", "internal/soak"}

// wireDirectories hold what travels and what is stored. There the protocol's names may stand
// as literals: as values of constants, and as keys that are read by hand.
var wireDirectories = []string{"internal/wire", "internal/ledger", "internal/settings"}

// exception is a place where a word of the protocol has to stand, or means something else.
type exception struct {
	file   string // from the root of the repository
	name   string // the identifier, or the literal's value
	reason string
}

// allowedIdentifiers are the identifiers that may contain a word of the protocol.
var allowedIdentifiers = []exception{
	{"internal/rollout/record.go", "PhaseAborted", "a plan that its operator aborted, as leadproxy drain abort says it"},
}

// allowedFields are the fields that may be named like their tag though it is a word of the
// protocol.
var allowedFields = []exception{
	{"internal/federation/records.go", "Epoch", "a transfer epoch: the term of docs/design-federation.md"},
}

// allowedLiterals are the string literals that may equal a name of the protocol.
var allowedLiterals = []exception{
	{"internal/federation/messages.go", "aborted", "an outcome's name in logs"},
	{"internal/kvstore/entries.go", "under", "parameter of the store's URLs"},
	{"internal/kvstore/watch.go", "under", "parameter of the store's URLs"},
	{"internal/kvstore/watch.go", "wait_ms", "parameter of the store's URLs"},
	{"internal/rollout/record.go", "aborted", "a plan's phase as the ledger holds it"},
}
