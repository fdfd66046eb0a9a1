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
	// Line is 1-based.
	Line int `json:"line"`
	// Field is the path to the value, such as "sets[0].targets[2].address". It is
	// empty if the problem concerns the whole file.
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

// Problems lists the mistakes of a file. It is an error only when it is not empty.
type Problems []Problem

// maxProblemsInError limits the length of error messages, which may be logged. A
// malicious file of 1 MB can contain several hundred thousand mistakes.
const maxProblemsInError = 100

// Error returns the first hundred problems, one per line, and the number of
// further ones.
func (p Problems) Error() string {
	var lines []string
	for i := range p[:min(len(p), maxProblemsInError)] {
		lines = append(lines, p[i].String())
	}
	if more := len(p) - maxProblemsInError; more > 0 {
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

// AppendNewFields appends the problems of fields that have none yet, because a
// value that failed one check often fails others for the same reason.
func (p Problems) AppendNewFields(more Problems) Problems {
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
