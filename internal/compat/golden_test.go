package compat

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"

	_ "leadproxy/internal/cells/cellpb"
	_ "leadproxy/internal/leadertransfer/handoverpb"
	_ "leadproxy/internal/peers/peerpb"
	_ "leadproxy/internal/rolloutservice/rolloutpb"
	_ "leadproxy/internal/softstate/hintpb"
)

var updateGRPC = flag.Bool("update-grpc", false, "rewrite the golden file of the gRPC services and messages")

// TestGoldenGRPC guards against incompatible changes of the gRPC protocols: it compares the packages,
// methods, messages with the numbers and types of their fields, and enums with the golden file. Field
// names are left out because they are not part of the encoding.
func TestGoldenGRPC(t *testing.T) {
	var lines []string
	protoregistry.GlobalFiles.RangeFiles(func(file protoreflect.FileDescriptor) bool {
		if packageName := string(file.Package()); !strings.HasPrefix(packageName, "google.") && !strings.HasPrefix(packageName, "grpc.") {
			lines = append(lines, describeFile(file)...)
		}
		return true
	})
	slices.Sort(lines)
	got := strings.Join(lines, "\n") + "\n"
	path := filepath.Join("testdata", "golden", "grpc.txt")
	if *updateGRPC {
		if err := os.WriteFile(path, []byte(got), 0o666); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("the gRPC services and messages differ from %s; they are now:\n%s", path, got)
	}
}

func describeFile(file protoreflect.FileDescriptor) []string {
	lines := []string{fmt.Sprintf("package %s syntax %s", file.Package(), file.Syntax())}
	for i := range file.Services().Len() {
		lines = append(lines, describeService(file.Services().Get(i))...)
	}
	lines = append(lines, describeMessages(file.Messages())...)
	return append(lines, describeEnums(file.Enums())...)
}

func describeService(service protoreflect.ServiceDescriptor) []string {
	lines := []string{fmt.Sprintf("service %s", service.FullName())}
	for i := range service.Methods().Len() {
		method := service.Methods().Get(i)
		lines = append(lines, fmt.Sprintf("method /%s/%s request %s%s reply %s%s", service.FullName(), method.Name(),
			streamPrefix(method.IsStreamingClient()), method.Input().FullName(),
			streamPrefix(method.IsStreamingServer()), method.Output().FullName()))
	}
	return lines
}

func streamPrefix(streaming bool) string {
	if streaming {
		return "stream of "
	}
	return ""
}

// describeMessages describes messages, including the messages and enums nested in them.
func describeMessages(messages protoreflect.MessageDescriptors) []string {
	var lines []string
	for i := range messages.Len() {
		message := messages.Get(i)
		lines = append(lines, fmt.Sprintf("message %s", message.FullName()))
		for k := range message.Fields().Len() {
			field := message.Fields().Get(k)
			lines = append(lines, fmt.Sprintf("message %s field %4d %s", message.FullName(), field.Number(), describeField(field)))
		}
		lines = append(lines, describeMessages(message.Messages())...)
		lines = append(lines, describeEnums(message.Enums())...)
	}
	return lines
}

func describeField(field protoreflect.FieldDescriptor) string {
	text := field.Kind().String()
	switch {
	case field.Message() != nil:
		text += " " + string(field.Message().FullName())
	case field.Enum() != nil:
		text += " " + string(field.Enum().FullName())
	}
	text += " " + field.Cardinality().String()
	if field.IsMap() {
		text += " map"
	}
	if field.IsPacked() {
		text += " packed"
	}
	if field.HasPresence() {
		text += " presence"
	}
	if oneof := field.ContainingOneof(); oneof != nil && !oneof.IsSynthetic() {
		text += fmt.Sprintf(" oneof %d", oneof.Index())
	}
	return text
}

func describeEnums(enums protoreflect.EnumDescriptors) []string {
	var lines []string
	for i := range enums.Len() {
		enum := enums.Get(i)
		for k := range enum.Values().Len() {
			value := enum.Values().Get(k)
			lines = append(lines, fmt.Sprintf("enum %s %4d %s", enum.FullName(), value.Number(), value.Name()))
		}
	}
	return lines
}
