package ledger

import (
	"errors"
	"fmt"
)

// ErrLeadershipLost is returned by Ledger.Run once another term has begun.
var ErrLeadershipLost = errors.New("leadership lost: another term has begun")

// Op is the operation on a key that failed.
type Op string

// Values of Op.
const (
	OpList   Op = "list"
	OpDecode Op = "decode"
	OpEncode Op = "encode"
)

// KeyError is the failure of an operation on one key of the ledger, or on all keys of a prefix.
// A key that can't be decoded affects that key alone: no value in the key-value store may keep a
// controller from leading.
type KeyError struct {
	Op  Op
	Key string
	Err error
}

func (e *KeyError) Error() string { return fmt.Sprintf("%s ledger key %s: %v", e.Op, e.Key, e.Err) }

// Unwrap returns the cause of the failure.
func (e *KeyError) Unwrap() error { return e.Err }
