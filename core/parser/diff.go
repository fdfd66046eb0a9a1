package parser

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// Change is one difference between two documents.
type Change struct {
	// Field is the path to the value. Sets and targets are named, as in
	// "sets[old].targets[agenda-1].slots".
	Field string `json:"field"`
	// Old is absent when the value was added, New when it was removed.
	Old any `json:"old,omitempty"`
	New any `json:"new,omitempty"`
}

// String returns the change as one line that starts with "+" for an added,
// "-" for a removed and "~" for a changed value.
func (c Change) String() string {
	switch {
	case c.Old == nil:
		return fmt.Sprintf("+ %s: %s", c.Field, plain(c.New))
	case c.New == nil:
		return fmt.Sprintf("- %s: %s", c.Field, plain(c.Old))
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Field, plain(c.Old), plain(c.New))
	}
}

// Changes are the differences between two documents. They marshal as a JSON
// array.
type Changes []Change

// String returns one change a line.
func (c Changes) String() string {
	lines := make([]string, len(c))
	for i := range c {
		lines[i] = c[i].String()
	}
	return strings.Join(lines, "\n")
}

// Diff returns the differences from one document to another, in the order of
// their fields. A nil document stands for none. The order of sets and targets
// and the edit identifier don't count.
func Diff(from, to *Document) (Changes, error) {
	a, err := generic(from)
	if err != nil {
		return nil, err
	}
	b, err := generic(to)
	if err != nil {
		return nil, err
	}
	return compare(nil, "", a, b), nil
}

func generic(doc *Document) (any, error) {
	if doc == nil {
		return map[string]any{}, nil
	}
	text, err := doc.Encode()
	if err != nil {
		return nil, err
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var value map[string]any
	if err := decoder.Decode(&value); err != nil {
		return nil, &Error{Op: "diff", Kind: KindMalformed, Err: err}
	}
	delete(value, "edit")
	return value, nil
}

func compare(changes Changes, field string, a, b any) Changes {
	if reflect.DeepEqual(a, b) {
		return changes
	}
	if a, b, ok := members(a, b); ok {
		return compareMembers(changes, a, b, func(name string) string {
			return strings.TrimPrefix(field+"."+name, ".")
		})
	}
	if a, b, ok := named(a, b); ok {
		return compareMembers(changes, a, b, func(name string) string {
			return field + "[" + name + "]"
		})
	}
	return append(changes, Change{Field: field, Old: a, New: b})
}

func compareMembers(changes Changes, a, b map[string]any, join func(string) string) Changes {
	all := maps.Clone(a)
	maps.Copy(all, b)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		changes = compare(changes, join(name), a[name], b[name])
	}
	return changes
}

func members(a, b any) (x, y map[string]any, ok bool) {
	x, ok = a.(map[string]any)
	if !ok {
		return nil, nil, false
	}
	y, ok = b.(map[string]any)
	return x, y, ok
}

// named indexes two lists of sets or of targets by name.
func named(a, b any) (x, y map[string]any, ok bool) {
	if x, ok = index(a); !ok {
		return nil, nil, false
	}
	y, ok = index(b)
	return x, y, ok
}

func index(list any) (map[string]any, bool) {
	elements, ok := list.([]any)
	if !ok {
		return nil, false
	}
	result := make(map[string]any, len(elements))
	for _, element := range elements {
		object, isObject := element.(map[string]any)
		name, isNamed := object["name"].(string)
		if !isObject || !isNamed {
			return nil, false
		}
		result[name] = object
	}
	return result, true
}

func plain(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(text)
}
