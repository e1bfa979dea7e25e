// Package wiretest checks, in tests, messages against examples of their JSON.
package wiretest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
)

// Same decodes an example into message, a pointer, which must know all of its names,
// and encodes it again to the same bytes. The example must give every field a value
// other than zero, so that each is shown to arrive and to be sent, and every field must have
// a tag, so that renaming it does not rename what is sent.
func CheckRoundTrip(t testing.TB, example string, message any) {
	t.Helper()
	CheckDecoding(t, example, message)
	if again, err := json.Marshal(message); err != nil || string(again) != example {
		t.Errorf("%T\nread    %s\nwritten %s (%v)", message, example, again, err)
	}
}

// Read decodes an example into message, a pointer, which must know all of its names. The
// example must give every field a value other than zero.
func CheckDecoding(t testing.TB, example string, message any) {
	t.Helper()
	decoder := json.NewDecoder(bytes.NewReader([]byte(example)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(message); err != nil {
		t.Fatalf("%T: %s: %v", message, example, err)
	}
	for _, name := range unset(fmt.Sprintf("%T", message), reflect.ValueOf(message)) {
		t.Errorf("not set by the example, or without a tag: %s", name)
	}
}

// Written encodes a message, which must give exactly the expected text.
func CheckEncoding(t testing.TB, message any, expected string) {
	t.Helper()
	if raw, err := json.Marshal(message); err != nil || string(raw) != expected {
		t.Errorf("%T\nwritten %s (%v)\nwant    %s", message, raw, err, expected)
	}
}

// unset names the exported fields under a value that are zero, or would be sent under
// their Go names for want of a tag. Of a list, a field may
// be zero in some elements but not in all.
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

// unsetInAll names what is zero in each element of a list or map.
func unsetInAll(name string, list reflect.Value) []string {
	count, size := map[string]int{}, list.Len()
	note := func(element reflect.Value) {
		for _, field := range unset(name, element) {
			count[field]++
		}
	}
	if list.Kind() == reflect.Map {
		for _, key := range list.MapKeys() {
			note(list.MapIndex(key))
		}
	} else {
		for i := range size {
			note(list.Index(i))
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
