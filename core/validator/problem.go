package validator

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one mistake in a file.
type Problem struct {
	File string `json:"file"`
	// Line counts from 1.
	Line int `json:"line"`
	// Field is the path to the value, such as "sets[0].targets[2].address". It
	// is empty for the file as a whole.
	Field   string `json:"field"`
	Message string `json:"message"`
}

// String returns the problem in the form "file:line: field: message".
func (p Problem) String() string {
	if p.Field == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Field, p.Message)
}

// Problems are all mistakes of a file. It is an error when it is not empty.
type Problems []Problem

// Error returns one problem a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].String()
	}
	return strings.Join(lines, "\n")
}

// Sort orders the problems by line, field and message.
func (p Problems) Sort() {
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Field, b.Field),
			cmp.Compare(a.Message, b.Message),
		)
	})
}

// AddNew appends the problems of fields that have none yet, as a value that
// failed one check often fails others for the same reason.
func (p Problems) AddNew(more Problems) Problems {
	known := make(map[string]bool)
	for i := range p {
		known[p[i].Field] = true
	}
	for i := range more {
		if !known[more[i].Field] {
			p = append(p, more[i])
		}
	}
	return p
}
