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

// Recording holds what controllers of one version wrote to the key-value store and sent to each
// other: one example of each shape. Values have the same shape if they have the same key family and
// fields (see KeyFamily and FieldPaths); messages, if they have the same method, direction and
// populated fields (see PopulatedFields).
type Recording struct {
	Commit   string    `json:"commit"`
	Values   []Value   `json:"values"`
	Messages []Message `json:"messages"`
}

// Value is a key of the key-value store with its value.
type Value struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// Message is an encoded gRPC message. Method is the full method name.
type Message struct {
	Method    string    `json:"method"`
	Direction Direction `json:"direction"`
	Payload   []byte    `json:"payload"`
}

// Direction is the direction of a gRPC message: request or reply.
type Direction string

// Values of Direction.
const (
	Request Direction = "request"
	Reply   Direction = "reply"
)

// ReadRecording reads a recording from a JSON file.
func ReadRecording(path string) (Recording, error) {
	var recording Recording
	text, err := os.ReadFile(path)
	if err != nil {
		return recording, fmt.Errorf("read recording: %w", err)
	}
	if err := json.Unmarshal(text, &recording); err != nil {
		return recording, fmt.Errorf("decode recording %s: %w", path, err)
	}
	return recording, nil
}

// KeyFamily returns the family of a key, which determines the type of its value: the part before the
// first slash, or "fin part" for a part of a chunk of finished tasks (fin/JOB/CHUNK.FIRST).
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

// FieldPaths returns the sorted paths of all fields of a JSON value, each with its type. The elements
// of an array share one path, which ends in [].
func FieldPaths(value json.RawMessage) ([]string, error) {
	var decoded any
	if err := json.Unmarshal(value, &decoded); err != nil {
		return nil, fmt.Errorf("decode value %s: %w", value, err)
	}
	paths := map[string]bool{}
	collectPaths("", decoded, paths)
	return sortedNames(paths), nil
}

// collectPaths adds the path and type of each scalar and null within a decoded JSON value to paths.
func collectPaths(path string, value any, paths map[string]bool) {
	switch value := value.(type) {
	case map[string]any:
		for name, field := range value {
			collectPaths(path+"."+name, field, paths)
		}
	case []any:
		for _, element := range value {
			collectPaths(path+"[]", element, paths)
		}
	case nil:
		paths[path+":null"] = true
	case string:
		paths[path+":string"] = true
	case float64:
		paths[path+":number"] = true
	case bool:
		paths[path+":bool"] = true
	}
}

func sortedNames(set map[string]bool) []string {
	var names []string
	for name := range set {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// NewMessage returns an empty message of the type that a method uses in a direction, or nil if the
// method is unknown.
func NewMessage(method string, direction Direction) proto.Message {
	switch method + " " + string(direction) {
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

// PopulatedFields returns the sorted paths of the fields that are set in a message. The path of an enum
// field includes the value.
func PopulatedFields(m protoreflect.Message) []string {
	paths := map[string]bool{}
	collectPopulatedFields("", m, paths)
	return sortedNames(paths)
}

func collectPopulatedFields(parent string, m protoreflect.Message, paths map[string]bool) {
	m.Range(func(field protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		path := parent + "." + string(field.Name())
		if field.Enum() != nil {
			path += fmt.Sprintf("=%d", v.Enum())
		}
		paths[path] = true
		if field.IsList() && field.Message() != nil {
			for i := range v.List().Len() {
				collectPopulatedFields(path+"[]", v.List().Get(i).Message(), paths)
			}
		}
		return true
	})
}
