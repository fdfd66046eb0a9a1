package validator

import (
	"encoding/json"
	"reflect"
	"time"
)

// Decode reads standard JSON into a struct. It turns durations from strings
// into numbers first, as encoding/json reads a time.Duration only from a number.
func Decode[T any](standard []byte, into *T) error {
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(standard, &fields); err != nil {
		return err
	}
	table := reflect.TypeFor[T]()
	for i := range table.NumField() {
		name := table.Field(i).Tag.Get("json")
		raw, given := fields[name]
		if !given || table.Field(i).Type != reflect.TypeFor[time.Duration]() {
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
	numeric, err := json.Marshal(fields)
	if err != nil {
		return err
	}
	return json.Unmarshal(numeric, into)
}
