package wire

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/segmentio/encoding/json"
)

// MaxBodyBytes is the largest request body that is taken.
const MaxBodyBytes = 64 << 10

// parseObject reads the one JSON object that a body must be.
func parseObject(body []byte, into any, flags json.ParseFlags) error {
	trailing, err := json.Parse(body, into, flags)
	if err != nil {
		return fmt.Errorf("the body must be one JSON object as the protocol has it: %w", err)
	}
	if len(bytes.TrimSpace(trailing)) > 0 {
		return errors.New("the body must end after its JSON object")
	}
	return nil
}
