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
	// Old is nil for an added value and New for a removed one.
	Old any `json:"old,omitempty"`
	New any `json:"new,omitempty"`
}

// String returns the change as one line that starts with "+" for an added value,
// "-" for a removed one and "~" for a changed one.
func (c Change) String() string {
	switch {
	case c.Old == nil:
		return fmt.Sprintf("+ %s: %s", c.Field, formatJSON(c.New))
	case c.New == nil:
		return fmt.Sprintf("- %s: %s", c.Field, formatJSON(c.Old))
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Field, formatJSON(c.Old), formatJSON(c.New))
	}
}

// Changes lists the differences between two documents.
type Changes []Change

// String returns the changes, one per line.
func (c Changes) String() string {
	lines := make([]string, len(c))
	for i := range c {
		lines[i] = c[i].String()
	}
	return strings.Join(lines, "\n")
}

// Diff returns the differences between two documents, sorted by field. A nil
// document counts as empty. The order of sets and targets and the edit identifier
// are ignored.
func Diff(from, to *Document) (Changes, error) {
	a, err := toJSONObject(from)
	if err != nil {
		return nil, err
	}
	b, err := toJSONObject(to)
	if err != nil {
		return nil, err
	}
	return compare(nil, "", a, b), nil
}

func toJSONObject(doc *Document) (any, error) {
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
	if a, b, ok := asObjects(a, b); ok {
		return compareObjects(changes, a, b, func(name string) string {
			return strings.TrimPrefix(field+"."+name, ".")
		})
	}
	if a, b, ok := asNamedLists(a, b); ok {
		return compareObjects(changes, a, b, func(name string) string {
			return field + "[" + name + "]"
		})
	}
	return append(changes, Change{Field: field, Old: a, New: b})
}

func compareObjects(changes Changes, a, b map[string]any, fieldPath func(string) string) Changes {
	all := maps.Clone(a)
	maps.Copy(all, b)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		changes = compare(changes, fieldPath(name), a[name], b[name])
	}
	return changes
}

func asObjects(a, b any) (x, y map[string]any, ok bool) {
	x, ok = a.(map[string]any)
	if !ok {
		return nil, nil, false
	}
	y, ok = b.(map[string]any)
	return x, y, ok
}

// asNamedLists indexes two lists of sets or targets by name. It reports false
// unless every element of both lists is an object with a name.
func asNamedLists(a, b any) (x, y map[string]any, ok bool) {
	if x, ok = indexByName(a); !ok {
		return nil, nil, false
	}
	y, ok = indexByName(b)
	return x, y, ok
}

func indexByName(list any) (map[string]any, bool) {
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

func formatJSON(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(text)
}
