package validator

import (
	"encoding/json"
	"reflect"
	"time"
)

// Decode unmarshals standard JSON into a struct. Strings in top-level
// time.Duration fields are first converted to numbers, because encoding/json
// decodes a time.Duration only from a number.
func Decode[T any](standard []byte, into *T) error {
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(standard, &fields); err != nil {
		return err
	}
	structType := reflect.TypeFor[T]()
	for i := range structType.NumField() {
		name := structType.Field(i).Tag.Get("json")
		raw, given := fields[name]
		if !given || structType.Field(i).Type != reflect.TypeFor[time.Duration]() {
			continue
		}
		if string(raw) == "null" {
			continue
		}
		var text string
		if err := json.Unmarshal(raw, &text); err != nil {
			return err
		}
		duration, err := time.ParseDuration(text)
		if err != nil {
			return err
		}
		if fields[name], err = json.Marshal(duration); err != nil {
			return err
		}
	}
	converted, err := json.Marshal(fields)
	if err != nil {
		return err
	}
	return json.Unmarshal(converted, into)
}
