package validator

import (
	"bytes"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"

	"jackdawcart.org/core/container"
)

// maxDepth limits the nesting of a file. The parser is recursive, and 1 MB of
// opening brackets would otherwise use hundreds of megabytes of stack.
const maxDepth = 32

// syntaxErrorPosition matches the position at the start of a hujson error.
var syntaxErrorPosition = regexp.MustCompile(`^hujson: line (\d+), column \d+: `)

// Source is a parsed file with the line of each value.
type Source struct {
	file string
	text []byte
	root hujson.Value
	// offsets maps JSON pointers to the start of their value, and newlines lists
	// the end of each line. They are built at the first mistake, because scanning
	// the text for each mistake would take quadratic time.
	offsets  map[string]int
	newlines []int
	// invalid holds the JSON pointers of values that failed a schema check.
	invalid container.Set[string]
}

// Parse parses JSON with comments. It rejects a text longer than limit bytes.
func Parse(file string, text []byte, limit int) (*Source, Problems) {
	if len(text) > limit {
		message := fmt.Sprintf("%d bytes, the limit is %d", len(text), limit)
		return nil, Problems{{File: file, Line: 1, Message: message}}
	}
	if line := findExcessiveDepth(text); line > 0 {
		message := fmt.Sprintf("nested more than %d levels deep", maxDepth)
		return nil, Problems{{File: file, Line: line, Message: message}}
	}
	root, err := hujson.Parse(bytes.Clone(text))
	if err != nil {
		return nil, Problems{syntaxProblem(file, err)}
	}
	root.Standardize()
	s := &Source{file: file, text: text, root: root, invalid: container.NewSet[string]()}
	if !hasRepeatedName(&s.root) {
		return s, nil
	}
	return s, s.repeatedNames()
}

// StandardJSON returns the text as standard JSON. Values that failed a schema check
// are replaced by null, so that the others can still be decoded and checked.
func (s *Source) StandardJSON() []byte {
	if len(s.invalid) > 0 {
		walk(&s.root, "", s.root.StartOffset, s.nullIfInvalid)
	}
	return s.root.Pack()
}

func (s *Source) nullIfInvalid(pointer string, _ int, v *hujson.Value) bool {
	if !s.invalid.Has(pointer) {
		return true
	}
	v.Value = hujson.Literal("null")
	return false
}

// Problem returns a problem with the value at a JSON pointer. If the value does
// not exist, the line is that of its closest existing parent.
func (s *Source) Problem(pointer, message string) Problem {
	s.buildIndex()
	return Problem{
		File:    s.file,
		Line:    s.lineOf(pointer),
		Field:   fieldOf(pointer),
		Message: message,
	}
}

func (s *Source) lineOf(pointer string) int {
	for {
		if offset, ok := s.offsets[pointer]; ok {
			return s.lineAt(offset)
		}
		end := strings.LastIndexByte(pointer, '/')
		if end < 0 {
			return 1
		}
		pointer = pointer[:end]
	}
}

func (s *Source) lineAt(offset int) int {
	line, _ := slices.BinarySearch(s.newlines, offset)
	return line + 1
}

// buildIndex fills offsets and newlines on first use.
func (s *Source) buildIndex() {
	if s.offsets != nil {
		return
	}
	for i, c := range s.text {
		if c == '\n' {
			s.newlines = append(s.newlines, i)
		}
	}
	s.offsets = make(map[string]int)
	walk(&s.root, "", s.root.StartOffset, func(pointer string, start int, _ *hujson.Value) bool {
		s.offsets[pointer] = start
		return true
	})
}

// hasRepeatedName reports whether an object contains a name more than once, in
// which case encoding/json would silently use the last value.
func hasRepeatedName(root *hujson.Value) bool {
	for v := range root.All() {
		object, ok := v.Value.(*hujson.Object)
		if !ok {
			continue
		}
		seen := make(map[string]struct{}, len(object.Members))
		for i := range object.Members {
			seen[nameOf(&object.Members[i])] = struct{}{}
		}
		if len(seen) < len(object.Members) {
			return true
		}
	}
	return false
}

func (s *Source) repeatedNames() Problems {
	var problems Problems
	seen := container.NewSet[string]()
	walk(&s.root, "", s.root.StartOffset, func(pointer string, start int, _ *hujson.Value) bool {
		if seen.Has(pointer) {
			problem := s.Problem(pointer, "name is given twice")
			problem.Line = s.lineAt(start)
			problems = append(problems, problem)
		}
		seen.Add(pointer)
		return true
	})
	return problems
}

// nameOf returns the name of a member. Names without escapes, which are the most
// common, skip the general decoding.
func nameOf(member *hujson.ObjectMember) string {
	literal := member.Name.Value.(hujson.Literal)
	if bytes.IndexByte(literal, '\\') < 0 && utf8.Valid(literal) {
		return string(literal[1 : len(literal)-1])
	}
	return literal.String()
}

// walk calls visit for each value with its JSON pointer and start offset. For an
// object member, this is the offset of its name. It does not descend into a value
// for which visit returns false.
func walk(v *hujson.Value, pointer string, start int, visit func(string, int, *hujson.Value) bool) {
	if !visit(pointer, start, v) {
		return
	}
	switch value := v.Value.(type) {
	case *hujson.Array:
		for i := range value.Elements {
			element := &value.Elements[i]
			walk(element, pointer+"/"+strconv.Itoa(i), element.StartOffset, visit)
		}
	case *hujson.Object:
		for i := range value.Members {
			member := &value.Members[i]
			name := escapePointerToken(nameOf(member))
			walk(&member.Value, pointer+"/"+name, member.Name.StartOffset, visit)
		}
	}
}

func syntaxProblem(file string, err error) Problem {
	problem := Problem{File: file, Line: 1, Message: err.Error()}
	match := syntaxErrorPosition.FindStringSubmatch(problem.Message)
	if match == nil {
		return problem
	}
	problem.Message = strings.TrimPrefix(problem.Message, match[0])
	if line, err := strconv.Atoi(match[1]); err == nil {
		problem.Line = line
	}
	return problem
}

// findExcessiveDepth returns the line at which the nesting exceeds the limit, or
// 0. It ignores brackets in strings and comments.
func findExcessiveDepth(text []byte) int {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i = endOfString(text, i)
		case '/':
			i = endOfComment(text, i)
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		}
		if depth > maxDepth {
			return 1 + bytes.Count(text[:i], []byte("\n"))
		}
	}
	return 0
}

func endOfString(text []byte, start int) int {
	for i := start + 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(text)
}

func endOfComment(text []byte, start int) int {
	rest := text[start:]
	var end []byte
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		end = []byte("\n")
	case bytes.HasPrefix(rest, []byte("/*")):
		end = []byte("*/")
	default:
		return start
	}
	length := bytes.Index(rest[2:], end)
	if length < 0 {
		return len(text)
	}
	return start + 2 + length + len(end) - 1
}

// fieldOf converts a JSON pointer to a path such as "sets[0].name".
func fieldOf(pointer string) string {
	var field strings.Builder
	for _, part := range strings.Split(pointer, "/")[1:] {
		part = strings.ReplaceAll(strings.ReplaceAll(part, "~1", "/"), "~0", "~")
		if _, err := strconv.Atoi(part); err == nil {
			field.WriteString("[" + part + "]")
			continue
		}
		if field.Len() > 0 {
			field.WriteByte('.')
		}
		field.WriteString(part)
	}
	return field.String()
}

func escapePointerToken(name string) string {
	return strings.ReplaceAll(strings.ReplaceAll(name, "~", "~0"), "/", "~1")
}
