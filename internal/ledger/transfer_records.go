package ledger

import (
	"errors"
	"fmt"
	"math"
	"strings"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/federation"
	"leadproxy/internal/wire"
)

// SavedDelegated is a transfer as the origin's ledger holds it.
type SavedDelegated struct {
	JobID  string
	Record federation.DelegatedRecord
	// Unknown is set when the record could not be read: the job may be anywhere.
	Unknown bool
}

// SavedForeign is a transfer as the neighbour's ledger holds it.
type SavedForeign struct {
	Key     federation.ForeignKey
	Record  federation.ForeignRecord
	Version uint64
}

// decodeDelegated reads a transfer of this cell's. A job whose record can't be read may run
// elsewhere, so its transfer is returned as unknown together with the error.
func decodeDelegated(entry *wire.Entry) (SavedDelegated, error) {
	saved := SavedDelegated{JobID: strings.TrimPrefix(entry.Key, delegatedPrefix)}
	err := json.Unmarshal(entry.Value, &saved.Record)
	if err == nil {
		err = checkDelegated(&saved.Record)
	}
	saved.Unknown = err != nil
	return saved, err
}

// checkDelegated finds what no controller can have written.
func checkDelegated(r *federation.DelegatedRecord) error {
	known := r.State == federation.Offered || r.State == federation.Accepted || r.State == federation.Returned
	if r.Cell == "" || r.Epoch == 0 || !known {
		return fmt.Errorf("epoch %d to cell %q in state %q", r.Epoch, r.Cell, r.State)
	}
	return nil
}

// decodeForeign reads the record of another cell's transfer. One that can't be read may have
// been accepted, so it is returned as refused for all epochs together with the error.
func decodeForeign(key federation.ForeignKey, entry *wire.Entry) (SavedForeign, error) {
	saved := SavedForeign{Key: key, Version: entry.Version}
	err := json.Unmarshal(entry.Value, &saved.Record)
	if err == nil && saved.Record.Epoch == 0 {
		err = errors.New("it has no epoch")
	}
	if err != nil {
		saved.Record = federation.ForeignRecord{Epoch: math.MaxUint64, State: federation.ForeignRefused}
	}
	return saved, err
}
