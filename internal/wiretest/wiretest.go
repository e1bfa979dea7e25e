// Package wiretest provides test helpers that compare messages with examples of their JSON.
package wiretest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
)

// CheckRoundTrip decodes an example into message, a pointer, whose type must have a field for
// each name of the example, and checks that message is encoded to the same bytes again. The
// example must give every field a value other than zero, which shows that each field is
// received and sent. Every field must have a tag, so that renaming the Go field does not change
// the name that is sent.
func CheckRoundTrip(t testing.TB, example string, message any) {
	t.Helper()
	CheckDecoding(t, example, message)
	if encoded, err := json.Marshal(message); err != nil || string(encoded) != example {
		t.Errorf("%T\ndecoded %s\nencoded %s (%v)", message, example, encoded, err)
	}
}

// CheckDecoding decodes an example into message, a pointer, whose type must have a field for
// each name of the example. The example must give every field a value other than zero, and
// every field must have a tag.
func CheckDecoding(t testing.TB, example string, message any) {
	t.Helper()
	decoder := json.NewDecoder(bytes.NewReader([]byte(example)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(message); err != nil {
		t.Fatalf("%T: decode %s: %v", message, example, err)
	}
	for _, name := range unset(fmt.Sprintf("%T", message), reflect.ValueOf(message)) {
		t.Errorf("field not set by the example, or without a json tag: %s", name)
	}
}

// CheckEncoding checks that a message is encoded to exactly the expected text.
func CheckEncoding(t testing.TB, message any, expected string) {
	t.Helper()
	if encoded, err := json.Marshal(message); err != nil || string(encoded) != expected {
		t.Errorf("%T\nencoded %s (%v)\nwant    %s", message, encoded, err, expected)
	}
}

// unset returns the names of the exported fields in a value that are zero, or that would be
// sent under their Go names because they have no tag. In the elements of a list or map, a
// field may be zero in some but not in all.
func unset(name string, value reflect.Value) []string {
	switch value.Kind() { //nolint:exhaustive // only kinds that hold fields or elements matter
	case reflect.Pointer:
		if value.IsNil() {
			return []string{name}
		}
		return unset(name, value.Elem())
	case reflect.Slice, reflect.Map:
		if value.Len() == 0 {
			return []string{name}
		}
		if value.Kind() == reflect.Slice && value.Type().Elem().Kind() != reflect.Struct {
			return nil
		}
		return unsetInAll(name+"[]", value)
	case reflect.Struct:
		var names []string
		for i := range value.NumField() {
			field := value.Type().Field(i)
			tag, tagged := field.Tag.Lookup("json")
			switch {
			case !field.IsExported() || tag == "-":
			case !tagged && !field.Anonymous:
				names = append(names, name+"."+field.Name+" (no json tag)")
			default:
				names = append(names, unset(name+"."+field.Name, value.Field(i))...)
			}
		}
		return names
	}
	if value.IsZero() {
		return []string{name}
	}
	return nil
}

// unsetInAll returns the names of the fields that are zero, or have no tag, in every element of
// a list or map.
func unsetInAll(name string, list reflect.Value) []string {
	count, size := map[string]int{}, list.Len()
	countUnset := func(element reflect.Value) {
		for _, field := range unset(name, element) {
			count[field]++
		}
	}
	if list.Kind() == reflect.Map {
		for _, key := range list.MapKeys() {
			countUnset(list.MapIndex(key))
		}
	} else {
		for i := range size {
			countUnset(list.Index(i))
		}
	}
	var names []string
	for field, zeros := range count {
		if zeros == size {
			names = append(names, field)
		}
	}
	return names
}
