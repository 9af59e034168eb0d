package cells

import (
	"encoding/hex"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"leadproxy/internal/federation"
	"leadproxy/internal/property"
)

// TestGoldenExchange compares the encoded bytes of an offer and of an answer with the golden
// values: cells of other versions have to decode them.
func TestGoldenExchange(t *testing.T) {
	offer := encodeMessage(federation.Message{Kind: federation.Offer, JobID: "job-17", Epoch: 3, Body: &federation.OfferBody{
		Job: []byte(`{"ref":"job-17"}`), Cores: 4.5, AcceptedMS: 5, Repeatable: true}})
	answer := encodeAnswer(federation.Answer{JobID: "job-17", Epoch: 3, Outcome: federation.OutcomeRefused, Done: 4, Running: 5,
		Reason: "text-6", Temporary: true, RetryAfter: 7 * time.Second})
	property.CheckGoldenValues(t, "exchange", map[string]any{
		"offer":  marshalHex(t, offer),
		"answer": marshalHex(t, answer),
	})
}

// marshalHex returns the encoded bytes of a message in hexadecimal.
func marshalHex(t *testing.T, m proto.Message) string {
	t.Helper()
	text, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return hex.EncodeToString(text)
}
