package property

import (
	"bytes"
	stdjson "encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/segmentio/encoding/json"
)

// update has the golden files written instead of compared. What travels or is stored may
// differ from them only by a decision, so it is never set in CI.
var update = flag.Bool("update", false, "write the golden files anew")

// goldenDirectory is where a package keeps its golden files.
const goldenDirectory = "testdata/golden"

// CheckGolden compares the JSON of the type that sample points to with the golden files of
// a name, byte for byte: NAME.json has a value with every field set, so that fields that are
// left out when empty show too, and NAME_zero.json the zero value, which shows which those
// are. Both files are also decoded and must give the same values again.
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

// checkEncoding compares the encoding of what a pointer points to with a golden file, and
// the value with the file's decoding.
func checkEncoding(t *testing.T, name string, pointer reflect.Value) {
	t.Helper()
	encoded, err := json.Marshal(pointer.Interface())
	if err != nil {
		t.Fatalf("encoding %s: %v", name, err)
	}
	file := compareFile(t, name, encoded)
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

// withNulls is a zero value as its encoding is decoded: a raw message that is nil is
// written as null, and read as the text null unless it is left out when empty.
func withNulls(pointer reflect.Value) reflect.Value {
	out := reflect.New(pointer.Type().Elem())
	if out.Elem().Kind() != reflect.Struct {
		return out
	}
	for i := range out.Elem().NumField() {
		field := out.Elem().Field(i)
		_, options, _ := bytes.Cut([]byte(out.Elem().Type().Field(i).Tag.Get("json")), []byte(","))
		if field.Type() == rawMessage && string(options) != "omitempty" {
			field.SetBytes([]byte("null"))
		}
	}
	return out
}

// CheckGoldenValues compares values, each under a plain and stable label, with the golden
// file of a name: constants, keys, numbers of enumerations, messages in hexadecimal.
func CheckGoldenValues(t *testing.T, name string, values map[string]any) {
	t.Helper()
	encoded, err := stdjson.MarshalIndent(values, "", "  ")
	if err != nil {
		t.Fatalf("encoding %s: %v", name, err)
	}
	compareFile(t, name, encoded)
}

// compareFile compares a text with a golden file, which it returns. The file has a newline
// more.
func compareFile(t *testing.T, name string, text []byte) []byte {
	t.Helper()
	path := filepath.Join(goldenDirectory, name+".json")
	text = append(bytes.Clone(text), '\n')
	if *update {
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

// sampler sets fields to values that all differ, in the order of the fields.
type sampler struct{ count int }

var rawMessage = reflect.TypeFor[json.RawMessage]()

// fill sets a value and all within it to samples other than zero.
func (s *sampler) fill(v reflect.Value) error {
	if v.Kind() != reflect.Struct {
		s.count++
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int32, reflect.Int64:
		v.SetInt(int64(s.count))
	case reflect.Uint, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(s.count))
	case reflect.Float64:
		v.SetFloat(float64(s.count) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprintf("text-%d", s.count))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		return s.fill(v.Elem())
	case reflect.Slice:
		return s.fillSlice(v)
	case reflect.Struct:
		return s.fillStruct(v)
	default:
		return fmt.Errorf("no sample is known for the type %s", v.Type())
	}
	return nil
}

// fillSlice gives a slice one element, and bytes a text.
func (s *sampler) fillSlice(v reflect.Value) error {
	switch {
	case v.Type() == rawMessage:
		v.SetBytes(fmt.Appendf(nil, `{"sample":%d}`, s.count))
		return nil
	case v.Type().Elem().Kind() == reflect.Uint8:
		v.SetBytes(fmt.Appendf(nil, "bytes-%d", s.count))
		return nil
	}
	v.Set(reflect.MakeSlice(v.Type(), 1, 1))
	return s.fill(v.Index(0))
}

// fillStruct fills every field. One that can't be set would not travel either.
func (s *sampler) fillStruct(v reflect.Value) error {
	for i := range v.NumField() {
		if field := v.Type().Field(i); !field.IsExported() {
			return fmt.Errorf("the field %s of %s can't be set", field.Name, v.Type())
		}
		if err := s.fill(v.Field(i)); err != nil {
			return err
		}
	}
	return nil
}
