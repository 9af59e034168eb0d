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

// SavedDelegated is the transfer of a delegated job, as stored in the ledger of the origin.
type SavedDelegated struct {
	JobID  string
	Record federation.DelegatedRecord
	// Unknown is set if the record could not be decoded: the job may run in any cell.
	Unknown bool
}

// SavedForeign is the transfer of a foreign job, as stored in the ledger of the neighbour.
type SavedForeign struct {
	Key     federation.ForeignKey
	Record  federation.ForeignRecord
	Version uint64
}

// decodeDelegated decodes the transfer of one of this cell's jobs. A job whose record can't be
// decoded may run in another cell, so its transfer is returned as unknown together with the error.
func decodeDelegated(entry *wire.Entry) (SavedDelegated, error) {
	saved := SavedDelegated{JobID: strings.TrimPrefix(entry.Key, delegatedPrefix)}
	err := json.Unmarshal(entry.Value, &saved.Record)
	if err == nil {
		err = checkDelegated(&saved.Record)
	}
	saved.Unknown = err != nil
	return saved, err
}

// checkDelegated returns an error if no controller can have written the record.
func checkDelegated(record *federation.DelegatedRecord) error {
	known := record.State == federation.Offered || record.State == federation.Accepted || record.State == federation.Returned
	if record.Cell == "" || record.Epoch == 0 || !known {
		return fmt.Errorf("invalid transfer: epoch %d to cell %q in state %q", record.Epoch, record.Cell, record.State)
	}
	return nil
}

// decodeForeign decodes the transfer of another cell's job. A transfer whose record can't be
// decoded may have been accepted, so it is returned as refused for all epochs, together with the
// error.
func decodeForeign(key federation.ForeignKey, entry *wire.Entry) (SavedForeign, error) {
	saved := SavedForeign{Key: key, Version: entry.Version}
	err := json.Unmarshal(entry.Value, &saved.Record)
	if err == nil && saved.Record.Epoch == 0 {
		err = errors.New("transfer has no epoch")
	}
	if err != nil {
		saved.Record = federation.ForeignRecord{Epoch: math.MaxUint64, State: federation.ForeignRefused}
	}
	return saved, err
}
