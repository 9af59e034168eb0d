package wire

import (
	"fmt"
	"math"
	"slices"

	"github.com/segmentio/encoding/json"
)

// fieldDecoder decodes the fields of an object one by one and keeps the first error. What a
// method returns after an error is of no use.
type fieldDecoder struct {
	fields map[string]json.RawMessage
	err    error
}

// fail records that a field is not what is wanted.
func (d *fieldDecoder) fail(field, wanted string) {
	if d.err == nil {
		d.err = &InvalidFieldError{Field: field, Requirement: "be " + wanted}
	}
}

// require fails unless a condition on a field holds.
func (d *fieldDecoder) require(holds bool, field, wanted string) {
	if !holds {
		d.fail(field, wanted)
	}
}

// isPresent tells whether the object has the field, and not as null.
func (d *fieldDecoder) isPresent(field string) bool {
	raw, found := d.fields[field]
	return found && string(raw) != "null"
}

// decode reads a field that must be there, and tells whether it could.
func (d *fieldDecoder) decode(field string, into any) bool {
	return d.isPresent(field) && json.Unmarshal(d.fields[field], into) == nil
}

// text reads a text that is not empty.
func (d *fieldDecoder) text(field string, maxLength int) string {
	var text string
	if !d.decode(field, &text) || text == "" || len(text) > maxLength {
		d.fail(field, "a text")
	}
	return text
}

// boolean reads a truth value.
func (d *fieldDecoder) boolean(field string) bool {
	var value bool
	if !d.decode(field, &value) {
		d.fail(field, "true or false")
	}
	return value
}

// amount reads a number from 0 on.
func (d *fieldDecoder) amount(field string, highest float64) float64 {
	var amount float64
	if !d.decode(field, &amount) || amount < 0 || amount > highest {
		d.fail(field, fmt.Sprintf("a number from 0 to %v", highest))
	}
	return amount
}

// integer reads a whole number, which may be written as a decimal.
func (d *fieldDecoder) integer(field string, lowest, highest int) int {
	var number float64
	if !d.decode(field, &number) || number != math.Trunc(number) || number < float64(lowest) || number > float64(highest) {
		d.fail(field, fmt.Sprintf("a whole number from %d to %d", lowest, highest))
	}
	return int(number)
}

// optional reads a field that may be absent or null.
func (d *fieldDecoder) optional(field string, into any, wanted string) {
	if d.isPresent(field) && json.Unmarshal(d.fields[field], into) != nil {
		d.fail(field, wanted)
	}
}

// jobIDs reads a list of job ids, each once; absent, null and empty mean none.
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
