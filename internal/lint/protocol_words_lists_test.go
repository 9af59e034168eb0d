package lint

// The words that the tests in protocol_words_test.go look for, and the places where they are allowed.

// forbiddenWords maps words of the protocol that have no other meaning in this code to the terms that
// replace them. No word of an identifier may be one of them, in singular or plural: hireName is
// as wrong as hire.
//
// The map omits words that also have ordinary meanings, which can't be distinguished by spelling:
// tick (a ticker), epoch (agent epoch, transfer epoch), room (free resources), hold, held, when,
// apply, set, under, from, life, path, data, try, cause, rate, status, verb, order (of a queue),
// snapshot (of the ledger), flush, due, warning, ref. If such a word is part of an unambiguous JSON
// name, that name is in forbiddenPairs. A field whose tag is such a word must not be named after the
// tag (see ambiguousNames and TestProtocolFieldsAreNamedByTerms).
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

// forbiddenPairs maps pairs of consecutive words that spell a JSON name of the protocol or the store to
// the terms that replace them.
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

// protocolNames lists JSON names and values of the protocol that a reader who does not know the
// protocol can't understand. Outside of wireDirectories no string literal may equal one of them. The
// list omits names that are ordinary words elsewhere: status, error, host, address, name, from,
// limit, done, cause, epoch.
var protocolNames = []string{
	"baton", "tenure", "tick", "boss", "flavor", "flavors", "loaners", "room", "rooms",
	"piece", "pieces", "lane", "owner", "shape", "urgency", "bundle", "size_gb", "vcpus", "mem_gb",
	"cache_gb", "fetch_gb_per_s", "guess_s", "snapshot_s", "flush_s", "due_s", "together",
	"waits_on", "wind_down_s", "verb", "orders", "try", "stored", "warning_s", "hire",
	"held_s", "market_price", "startup_s", "has_next", "stamp", "hold", "when", "apply",
	"life_ms", "news", "under", "wait_ms", "aborted", "flushing", "no_room", "in_use", "no_such",
	"ref", "fate", "over_ms",
}

// ambiguousNames lists JSON names of the protocol that a struct field with that tag must not be named
// after; the field must be named by the glossary's term. Many of them are ordinary words elsewhere.
var ambiguousNames = []string{
	"ref", "room", "rooms", "tick", "epoch", "hold", "stamp", "when", "apply", "under", "path", "data",
	"try", "cause", "stored", "rate", "number", "host", "hosts", "orders", "owner", "shape", "news",
	"vcpus", "size_gb", "guess_s", "snapshot_s", "flush_s", "due_s", "warning_s", "held_s", "startup_s",
	"life_ms", "has_next", "waits_on", "fate", "over_ms",
}

// testDirectories lists directories that are not checked: they contain test support only, and simulate
// the external systems, which use the protocol's words.
var testDirectories = []string{"internal/compat", "internal/fake", "internal/property", "internal/soak"}

// wireDirectories lists the packages that define wire and storage formats. They may contain the
// protocol's names as literals: as values of constants, and as keys in handwritten decoders.
var wireDirectories = []string{"internal/wire", "internal/ledger", "internal/settings"}

// exception allows an identifier or a literal in one file, where a word of the protocol is necessary or
// has another meaning.
type exception struct {
	file   string // slash-separated path from the repository root
	name   string // the identifier, or the value of the literal
	reason string
}

// allowedIdentifiers lists the identifiers that may contain a word of the protocol.
var allowedIdentifiers = []exception{
	{"internal/rollout/record.go", "PhaseAborted", "a plan that its operator aborted, as leadproxy drain abort says it"},
}

// allowedFields lists the fields that may be named after their tag although the tag is in
// ambiguousNames.
var allowedFields = []exception{
	{"internal/federation/records.go", "Epoch", "a transfer epoch: the term of docs/design-federation.md"},
}

// allowedLiterals lists the string literals that may equal a name of the protocol.
var allowedLiterals = []exception{
	{"internal/federation/messages.go", "aborted", "an outcome's name in logs"},
	{"internal/kvstore/entries.go", "under", "parameter of the store's URLs"},
	{"internal/kvstore/watch.go", "under", "parameter of the store's URLs"},
	{"internal/kvstore/watch.go", "wait_ms", "parameter of the store's URLs"},
	{"internal/rollout/record.go", "aborted", "a plan's phase as the ledger holds it"},
}
