package validator

import (
	"bytes"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// maxDepth bounds the nesting of a file. The parser recurses, and a file of
// 1 MB of opening brackets would otherwise use hundreds of megabytes of stack.
const maxDepth = 32

// syntaxError matches the position in an error of the hujson package.
var syntaxError = regexp.MustCompile(`^hujson: line (\d+), column \d+: `)

// Source is a parsed file that knows the line of each value.
type Source struct {
	file string
	text []byte
	root hujson.Value
	// invalid holds the JSON pointers of values that failed a schema.
	invalid []string
}

// Parse reads JSON with comments and refuses a text longer than limit bytes.
func Parse(file string, text []byte, limit int) (*Source, Problems) {
	s := &Source{file: file, text: text}
	if len(text) > limit {
		message := fmt.Sprintf("%d bytes, the limit is %d", len(text), limit)
		return nil, Problems{{File: file, Line: 1, Message: message}}
	}
	if line := tooDeep(text); line > 0 {
		message := fmt.Sprintf("nested more than %d levels deep", maxDepth)
		return nil, Problems{{File: file, Line: line, Message: message}}
	}
	root, err := hujson.Parse(bytes.Clone(text))
	if err != nil {
		return nil, Problems{syntaxProblem(file, err)}
	}
	s.root = root
	return s, s.repeatedNames(&s.root, "")
}

// Standard returns the text as plain JSON. Values that failed a schema are
// null, so that the others can still be decoded and checked.
func (s *Source) Standard() []byte {
	root := s.root.Clone()
	for _, pointer := range s.invalid {
		if v := root.Find(pointer); v != nil {
			v.Value = hujson.Literal("null")
		}
	}
	root.Standardize()
	return root.Pack()
}

// Problem returns a mistake in the value at a JSON pointer. The line is that
// of the closest value that exists.
func (s *Source) Problem(pointer, message string) Problem {
	return Problem{
		File:    s.file,
		Line:    s.lineOf(pointer),
		Field:   fieldOf(pointer),
		Message: message,
	}
}

func (s *Source) lineOf(pointer string) int {
	for {
		if v := s.root.Find(pointer); v != nil {
			return s.lineAt(v.StartOffset)
		}
		end := strings.LastIndexByte(pointer, '/')
		if end < 0 {
			return 1
		}
		pointer = pointer[:end]
	}
}

func (s *Source) lineAt(offset int) int {
	return 1 + bytes.Count(s.text[:min(offset, len(s.text))], []byte("\n"))
}

// repeatedNames finds names that an object has twice, of which encoding/json
// would silently take the last.
func (s *Source) repeatedNames(v *hujson.Value, pointer string) Problems {
	var problems Problems
	switch value := v.Value.(type) {
	case *hujson.Array:
		for i := range value.Elements {
			child := pointer + "/" + strconv.Itoa(i)
			problems = append(problems, s.repeatedNames(&value.Elements[i], child)...)
		}
	case *hujson.Object:
		seen := make(map[string]bool)
		for i := range value.Members {
			member := &value.Members[i]
			name := member.Name.Value.(hujson.Literal).String()
			child := pointer + "/" + escape(name)
			if seen[name] {
				problem := s.Problem(child, "name is given twice")
				problem.Line = s.lineAt(member.Name.StartOffset)
				problems = append(problems, problem)
			}
			seen[name] = true
			problems = append(problems, s.repeatedNames(&member.Value, child)...)
		}
	}
	return problems
}

func syntaxProblem(file string, err error) Problem {
	problem := Problem{File: file, Line: 1, Message: err.Error()}
	match := syntaxError.FindStringSubmatch(problem.Message)
	if match == nil {
		return problem
	}
	problem.Message = strings.TrimPrefix(problem.Message, match[0])
	if line, err := strconv.Atoi(match[1]); err == nil {
		problem.Line = line
	}
	return problem
}

// tooDeep returns the line at which the nesting exceeds the limit, or 0. It
// skips strings and comments.
func tooDeep(text []byte) int {
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

// fieldOf turns a JSON pointer into the form "sets[0].name".
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

func escape(name string) string {
	return strings.ReplaceAll(strings.ReplaceAll(name, "~", "~0"), "/", "~1")
}
