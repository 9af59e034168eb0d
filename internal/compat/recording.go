package compat

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"leadproxy/internal/peers/peerpb"
)

// Recording is what controllers of a version were observed to write to the key-value store and to
// send to one another: one example of each shape.
type Recording struct {
	Commit   string    `json:"commit"`
	Values   []Value   `json:"values"`
	Messages []Message `json:"messages"`
}

// Value is a key with its value.
type Value struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// Message is one encoded gRPC message.
type Message struct {
	Method    string    `json:"method"`
	Direction Direction `json:"direction"`
	Payload   []byte    `json:"payload"`
}

// Direction says whether a message is a request or a reply.
type Direction string

// The directions.
const (
	Request Direction = "request"
	Reply   Direction = "reply"
)

// ReadRecording reads a recording from a file.
func ReadRecording(path string) (Recording, error) {
	var r Recording
	text, err := os.ReadFile(path)
	if err != nil {
		return r, fmt.Errorf("reading a recording: %w", err)
	}
	if err := json.Unmarshal(text, &r); err != nil {
		return r, fmt.Errorf("decoding the recording %s: %w", path, err)
	}
	return r, nil
}

// KeyFamily is the part of a key that determines the type of its value.
func KeyFamily(key string) string {
	family, rest, found := strings.Cut(key, "/")
	switch {
	case !found:
		return key
	case family == "fin" && strings.Contains(rest, "."):
		return "fin part"
	}
	return family
}

// FieldPaths lists the fields of a JSON value with their types, sorted. Fields of an array's elements
// are listed once.
func FieldPaths(value json.RawMessage) ([]string, error) {
	var v any
	if err := json.Unmarshal(value, &v); err != nil {
		return nil, fmt.Errorf("decoding the value %s: %w", value, err)
	}
	paths := map[string]bool{}
	collectPaths("", v, paths)
	return sortedNames(paths), nil
}

func collectPaths(at string, v any, paths map[string]bool) {
	switch v := v.(type) {
	case map[string]any:
		for name, field := range v {
			collectPaths(at+"."+name, field, paths)
		}
	case []any:
		for _, element := range v {
			collectPaths(at+"[]", element, paths)
		}
	case nil:
		paths[at+":null"] = true
	case string:
		paths[at+":string"] = true
	case float64:
		paths[at+":number"] = true
	case bool:
		paths[at+":bool"] = true
	}
}

func sortedNames(set map[string]bool) []string {
	var all []string
	for name := range set {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}

// NewMessage makes an empty message of the type that a method has in a direction; nil: there is no
// such method.
func NewMessage(method string, d Direction) proto.Message {
	switch method + " " + string(d) {
	case peerpb.Peer_Ask_FullMethodName + " " + string(Request):
		return &peerpb.AskRequest{}
	case peerpb.Peer_Ask_FullMethodName + " " + string(Reply):
		return &peerpb.AskReply{}
	case peerpb.Peer_Share_FullMethodName + " " + string(Request):
		return &peerpb.ReportBatch{}
	case peerpb.Peer_Share_FullMethodName + " " + string(Reply):
		return &peerpb.AnswerBatch{}
	case peerpb.Peer_Ping_FullMethodName + " " + string(Request):
		return &peerpb.PingRequest{}
	case peerpb.Peer_Ping_FullMethodName + " " + string(Reply):
		return &peerpb.PingReply{}
	case peerpb.Peer_Vouch_FullMethodName + " " + string(Request):
		return &peerpb.VouchRequest{}
	case peerpb.Peer_Vouch_FullMethodName + " " + string(Reply):
		return &peerpb.VouchReply{}
	}
	return nil
}

// PopulatedFields lists the fields that a message carries, with the values of enums, sorted.
func PopulatedFields(m protoreflect.Message) []string {
	paths := map[string]bool{}
	collectPopulatedFields("", m, paths)
	return sortedNames(paths)
}

func collectPopulatedFields(at string, m protoreflect.Message, paths map[string]bool) {
	m.Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		path := at + "." + string(f.Name())
		if f.Enum() != nil {
			path += fmt.Sprintf("=%d", v.Enum())
		}
		paths[path] = true
		if f.IsList() && f.Message() != nil {
			for i := range v.List().Len() {
				collectPopulatedFields(path+"[]", v.List().Get(i).Message(), paths)
			}
		}
		return true
	})
}
