package wire

import (
	"fmt"
	"math"
	"slices"

	"github.com/segmentio/encoding/json"
)

// fieldDecoder decodes the fields of an object one by one and records the first error. Once err is
// set, the values that its methods return are meaningless.
type fieldDecoder struct {
	fields map[string]json.RawMessage
	err    error
}

// fail records that a field must be what wanted says, unless an earlier error is recorded.
func (d *fieldDecoder) fail(field, wanted string) {
	if d.err == nil {
		d.err = &InvalidFieldError{Field: field, Requirement: "be " + wanted}
	}
}

// require records an error for a field unless a condition on it holds.
func (d *fieldDecoder) require(holds bool, field, wanted string) {
	if !holds {
		d.fail(field, wanted)
	}
}

// isPresent reports whether the object has the field and its value is not null.
func (d *fieldDecoder) isPresent(field string) bool {
	raw, found := d.fields[field]
	return found && string(raw) != "null"
}

// decode decodes a required field. It reports whether the field is present and has the right type.
func (d *fieldDecoder) decode(field string, into any) bool {
	return d.isPresent(field) && json.Unmarshal(d.fields[field], into) == nil
}

// text decodes a required, non-empty string of at most maxLength bytes.
func (d *fieldDecoder) text(field string, maxLength int) string {
	var text string
	if !d.decode(field, &text) || text == "" || len(text) > maxLength {
		d.fail(field, "a text")
	}
	return text
}

// boolean decodes a required boolean.
func (d *fieldDecoder) boolean(field string) bool {
	var value bool
	if !d.decode(field, &value) {
		d.fail(field, "true or false")
	}
	return value
}

// amount decodes a required number from 0 to highest.
func (d *fieldDecoder) amount(field string, highest float64) float64 {
	var amount float64
	if !d.decode(field, &amount) || amount < 0 || amount > highest {
		d.fail(field, fmt.Sprintf("a number from 0 to %v", highest))
	}
	return amount
}

// integer decodes a required whole number from lowest to highest. It accepts a fraction of zero,
// as in 2.0.
func (d *fieldDecoder) integer(field string, lowest, highest int) int {
	var number float64
	if !d.decode(field, &number) || number != math.Trunc(number) || number < float64(lowest) || number > float64(highest) {
		d.fail(field, fmt.Sprintf("a whole number from %d to %d", lowest, highest))
	}
	return int(number)
}

// optional decodes a field that may be absent or null, in which case it leaves into unchanged.
func (d *fieldDecoder) optional(field string, into any, wanted string) {
	if d.isPresent(field) && json.Unmarshal(d.fields[field], into) != nil {
		d.fail(field, wanted)
	}
}

// jobIDs decodes an optional list of job ids and removes duplicates. It returns nil if the field is
// absent, null or empty.
func (d *fieldDecoder) jobIDs(field string) []string {
	const wanted = "a list of job ids, or null"
	var listed, distinct []string
	d.optional(field, &listed, wanted)
	for _, id := range listed {
		d.require(ValidJobID(id), field, wanted)
		if !slices.Contains(distinct, id) {
			distinct = append(distinct, id)
		}
	}
	return distinct
}
