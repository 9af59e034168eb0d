package property

import (
	"bytes"
	stdjson "encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/segmentio/encoding/json"
)

// updateGolden makes tests write the golden files instead of comparing them. What travels or is stored may
// change only by a decision, so it is never set in CI.
var updateGolden = flag.Bool("update", false, "write the golden files anew")

// goldenDirectory is where a package has its golden files.
const goldenDirectory = "testdata/golden"

// CheckGolden compares the JSON of the type that sample points to with the golden files of a name,
// byte for byte. NAME.json has a value with every field set, so that fields that are omitted when
// empty show too; NAME_zero.json has the zero value, which shows which those are. Both files are also
// decoded and must give the same values again.
func CheckGolden(t *testing.T, name string, sample any) {
	t.Helper()
	valueType := reflect.TypeOf(sample).Elem()
	filled := reflect.New(valueType)
	samples := sampler{}
	if err := samples.fill(filled.Elem()); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	checkEncoding(t, name, filled)
	checkEncoding(t, name+"_zero", reflect.New(valueType))
}

// CheckGoldenValues compares values, each under a stable label, with the golden file of a name:
// constants, keys, numbers of enumerations, messages in hexadecimal.
func CheckGoldenValues(t *testing.T, name string, values map[string]any) {
	t.Helper()
	encoded, err := stdjson.MarshalIndent(values, "", "  ")
	if err != nil {
		t.Fatalf("encoding %s: %v", name, err)
	}
	compareWithGoldenFile(t, name, encoded)
}

// checkEncoding compares the encoding of the value that a pointer points to with a golden file, and
// the value with the file's decoding.
func checkEncoding(t *testing.T, name string, pointer reflect.Value) {
	t.Helper()
	encoded, err := json.Marshal(pointer.Interface())
	if err != nil {
		t.Fatalf("encoding %s: %v", name, err)
	}
	file := compareWithGoldenFile(t, name, encoded)
	decoded := reflect.New(pointer.Type().Elem())
	if err := json.Unmarshal(file, decoded.Interface()); err != nil {
		t.Errorf("decoding the golden file of %s: %v", name, err)
		return
	}
	want := pointer
	if want.Elem().IsZero() {
		want = withNulls(want)
	}
	if !reflect.DeepEqual(decoded.Interface(), want.Interface()) {
		t.Errorf("the golden file of %s is decoded to %+v, want %+v", name, decoded.Elem(), want.Elem())
	}
}

// withNulls is a zero value as its encoding is decoded: a nil raw message is written as null, and read
// as the text null unless it is omitted when empty.
func withNulls(pointer reflect.Value) reflect.Value {
	out := reflect.New(pointer.Type().Elem())
	if out.Elem().Kind() != reflect.Struct {
		return out
	}
	for i := range out.Elem().NumField() {
		field := out.Elem().Field(i)
		_, options, _ := bytes.Cut([]byte(out.Elem().Type().Field(i).Tag.Get("json")), []byte(","))
		if field.Type() == rawMessageType && string(options) != "omitempty" {
			field.SetBytes([]byte("null"))
		}
	}
	return out
}

// compareWithGoldenFile compares a text and a final newline with a golden file, and returns the file's content.
func compareWithGoldenFile(t *testing.T, name string, text []byte) []byte {
	t.Helper()
	path := filepath.Join(goldenDirectory, name+".json")
	text = append(bytes.Clone(text), '\n')
	if *updateGolden {
		if err := os.MkdirAll(goldenDirectory, 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, text, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(text, want) {
		t.Errorf("%s: what travels or is stored has changed:\n got %s\nwant %s", path, text, want)
	}
	return want
}
