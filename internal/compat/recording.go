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

// Recording is what a version was seen to write to the state service and to send
// between controllers: one example of each shape.
type Recording struct {
	Commit   string    `json:"commit"`
	Values   []Value   `json:"values"`
	Messages []Message `json:"messages"`
}

// Value is what one key held.
type Value struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// Message is one gRPC message as it travelled.
type Message struct {
	Method    string    `json:"method"`
	Direction Direction `json:"direction"`
	Payload   []byte    `json:"payload"`
}

// Direction is which way a message went.
type Direction string

// The two directions.
const (
	Request Direction = "request"
	Reply   Direction = "reply"
)

// Read reads a recording from a file.
func Read(path string) (Recording, error) {
	var r Recording
	text, err := os.ReadFile(path)
	if err != nil {
		return r, err
	}
	if err := json.Unmarshal(text, &r); err != nil {
		return r, fmt.Errorf("%s: %w", path, err)
	}
	return r, nil
}

// KeyFamily is the part of a key that tells what its value holds.
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

// FieldPaths lists the fields of a JSON value with their types, those of an array's
// elements once, sorted.
func FieldPaths(value json.RawMessage) ([]string, error) {
	var v any
	if err := json.Unmarshal(value, &v); err != nil {
		return nil, fmt.Errorf("%s: %w", value, err)
	}
	paths := map[string]bool{}
	collectPaths("", v, paths)
	return sorted(paths), nil
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

func sorted(set map[string]bool) []string {
	var all []string
	for name := range set {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}

// NewMessage makes an empty message of a method's type; nil: there is no such method.
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

// Populated lists the fields that a message carries, with the values of enums, sorted.
func Populated(m protoreflect.Message) []string {
	paths := map[string]bool{}
	collectPopulated("", m, paths)
	return sorted(paths)
}

func collectPopulated(at string, m protoreflect.Message, paths map[string]bool) {
	m.Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		path := at + "." + string(f.Name())
		if f.Enum() != nil {
			path += fmt.Sprintf("=%d", v.Enum())
		}
		paths[path] = true
		if f.IsList() && f.Message() != nil {
			for i := range v.List().Len() {
				collectPopulated(path+"[]", v.List().Get(i).Message(), paths)
			}
		}
		return true
	})
}
