package property

import (
	"fmt"
	"reflect"

	"github.com/segmentio/encoding/json"
)

// sampler fills values with distinct, deterministic samples, which it numbers in field order.
type sampler struct{ count int }

var rawMessageType = reflect.TypeFor[json.RawMessage]()

// fill sets a value, and everything it contains, to samples that are not the zero value. It returns an
// error for types without a sample.
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
		return fmt.Errorf("sampler: unsupported type %s", v.Type())
	}
	return nil
}

// fillSlice sets a raw message to a JSON object, other byte slices to a text, and any other slice to
// one filled element.
func (s *sampler) fillSlice(v reflect.Value) error {
	switch {
	case v.Type() == rawMessageType:
		v.SetBytes(fmt.Appendf(nil, `{"sample":%d}`, s.count))
		return nil
	case v.Type().Elem().Kind() == reflect.Uint8:
		v.SetBytes(fmt.Appendf(nil, "bytes-%d", s.count))
		return nil
	}
	v.Set(reflect.MakeSlice(v.Type(), 1, 1))
	return s.fill(v.Index(0))
}

// fillStruct fills every field. It returns an error for an unexported field, because JSON encoding
// would omit it.
func (s *sampler) fillStruct(v reflect.Value) error {
	for i := range v.NumField() {
		if field := v.Type().Field(i); !field.IsExported() {
			return fmt.Errorf("sampler: field %s of %s is not exported", field.Name, v.Type())
		}
		if err := s.fill(v.Field(i)); err != nil {
			return err
		}
	}
	return nil
}
