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

// maxShown bounds the message of an error, which may go to a log. A hostile
// file of 1 MB can have several hundred thousand mistakes.
const maxShown = 100

// Error returns one problem a line and the number of those beyond the first
// hundred.
func (p Problems) Error() string {
	var lines []string
	for i := range p[:min(len(p), maxShown)] {
		lines = append(lines, p[i].String())
	}
	if more := len(p) - maxShown; more > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", more))
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
