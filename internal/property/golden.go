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

// updateGolden makes tests rewrite the golden files before they compare them. It is never set in CI,
// because wire and storage formats may change only deliberately.
var updateGolden = flag.Bool("update", false, "rewrite the golden files")

// goldenDirectory is the directory of the golden files, relative to the tested package.
const goldenDirectory = "testdata/golden"

// CheckGolden compares the JSON encoding of the type that sample points to with golden files, byte for
// byte. NAME.json holds a value with every field set, so that it includes the fields that are omitted
// when empty. NAME_zero.json holds the zero value and so shows which fields those are. Decoding either
// file must give the encoded value.
func CheckGolden(t *testing.T, name string, sample any) {
	t.Helper()
	valueType := reflect.TypeOf(sample).Elem()
	filled := reflect.New(valueType)
	s := sampler{}
	if err := s.fill(filled.Elem()); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	checkEncoding(t, name, filled)
	checkEncoding(t, name+"_zero", reflect.New(valueType))
}

// CheckGoldenValues compares values, each under a stable label, with the golden file NAME.json. The
// values are constants, keys, enum numbers, or messages in hexadecimal.
func CheckGoldenValues(t *testing.T, name string, values map[string]any) {
	t.Helper()
	encoded, err := stdjson.MarshalIndent(values, "", "  ")
	if err != nil {
		t.Fatalf("encode %s: %v", name, err)
	}
	compareWithGoldenFile(t, name, encoded)
}

// checkEncoding compares the JSON encoding of the value that pointer points to with a golden file, and
// the decoded file with the value.
func checkEncoding(t *testing.T, name string, pointer reflect.Value) {
	t.Helper()
	encoded, err := json.Marshal(pointer.Interface())
	if err != nil {
		t.Fatalf("encode %s: %v", name, err)
	}
	file := compareWithGoldenFile(t, name, encoded)
	decoded := reflect.New(pointer.Type().Elem())
	if err := json.Unmarshal(file, decoded.Interface()); err != nil {
		t.Errorf("decode the golden file of %s: %v", name, err)
		return
	}
	want := pointer
	if want.Elem().IsZero() {
		want = withNulls(want)
	}
	if !reflect.DeepEqual(decoded.Interface(), want.Interface()) {
		t.Errorf("golden file of %s: decoded %+v, want %+v", name, decoded.Elem(), want.Elem())
	}
}

// withNulls returns a pointer to the zero value as it is after encoding and decoding: a nil raw message
// is encoded as null and decoded as the text null, unless it is omitted when empty.
func withNulls(pointer reflect.Value) reflect.Value {
	result := reflect.New(pointer.Type().Elem())
	if result.Elem().Kind() != reflect.Struct {
		return result
	}
	for i := range result.Elem().NumField() {
		field := result.Elem().Field(i)
		_, options, _ := bytes.Cut([]byte(result.Elem().Type().Field(i).Tag.Get("json")), []byte(","))
		if field.Type() == rawMessageType && string(options) != "omitempty" {
			field.SetBytes([]byte("null"))
		}
	}
	return result
}

// compareWithGoldenFile compares a text plus a final newline with the golden file NAME.json, and
// returns the content of the file.
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
		t.Errorf("%s: the wire or storage format has changed:\n got %s\nwant %s", path, text, want)
	}
	return want
}
