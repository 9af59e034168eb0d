package ledger

import (
	"errors"
	"fmt"
)

// ErrLeadershipLost ends a ledger whose term is over.
var ErrLeadershipLost = errors.New("another term has begun")

// Op is what was tried with a key.
type Op string

// The operations on keys that can fail.
const (
	OpList   Op = "list"
	OpDecode Op = "decode"
	OpEncode Op = "encode"
)

// KeyError says what was tried with a key of the ledger, or with all keys of a prefix, and why
// it failed. It concerns that key alone: no value in the key-value store may keep a controller
// from leading.
type KeyError struct {
	Op  Op
	Key string
	Err error
}

func (e *KeyError) Error() string { return fmt.Sprintf("%s ledger key %s: %v", e.Op, e.Key, e.Err) }

// Unwrap returns why it failed.
func (e *KeyError) Unwrap() error { return e.Err }
