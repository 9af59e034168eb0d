package wire

// InvalidFieldError says which field of a message breaks the protocol, and what was wanted.
type InvalidFieldError struct {
	// Field is the field's name on the wire.
	Field string
	// Requirement completes "the field must ...".
	Requirement string
}

func (e *InvalidFieldError) Error() string { return e.Field + " must " + e.Requirement }
