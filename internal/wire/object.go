package wire

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/segmentio/encoding/json"
)

// MaxBodyBytes is the maximum size of a request body.
const MaxBodyBytes = 64 << 10

// parseObject decodes a body that must consist of exactly one JSON object, apart from trailing white
// space. It accepts null too, which leaves into unchanged, so callers must check required fields.
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
