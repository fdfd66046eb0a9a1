package validator_test

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"jackdawcart.org/core/validator"
)

func ExampleSchema_Check() {
	schema := validator.MustCompile("example", []byte(`{
		"type": "object",
		"required": ["name"],
		"additionalProperties": false,
		"properties": {"name": {"type": "string"}, "ports": {"items": {"type": "integer"}}}
	}`))
	source, problems := validator.Parse("file.json", []byte(`{
  "ports": [1, "two"], // a string
  "ports": [],
  "port": 3,
}`), 1000)
	problems = append(problems, schema.Check(source)...)
	problems.Sort()
	fmt.Println(problems)
	// Output:
	// file.json:1: name: missing
	// file.json:3: ports: name is given twice
	// file.json:4: port: unknown name
}

// Guards against a syntax error that is reported at the wrong line.
func ExampleParse_syntax() {
	_, problems := validator.Parse("file.json", []byte("{\n  \"a\": 1\n  \"b\": 2\n}"), 1000)
	fmt.Println(problems)
	// Output: file.json:3: invalid character '"' after object value (expecting ',' or '}')
}

// Guards against deep nesting that exhausts the stack of the recursive parser.
// Brackets in strings and comments must not count.
func TestParseRefusesDeepNesting(t *testing.T) {
	_, problems := validator.Parse("deep", []byte(strings.Repeat("[", 1<<20)), 1<<20)
	if len(problems) != 1 || !strings.Contains(problems[0].Message, "nested") {
		t.Errorf("got %v", problems)
	}
	brackets := strings.Repeat("[", 100)
	text := fmt.Sprintf("// %s\n{/* %s */ \"a\": \"\\\"%s\"}", brackets, brackets, brackets)
	if _, problems = validator.Parse("flat", []byte(text), 1000); len(problems) != 0 {
		t.Errorf("got %v", problems)
	}
}

// processorTime returns the processor time that this process has used. Unlike the time
// of day it doesn't grow while other processes keep the processors busy.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Guards against a linear scan for the line of each mistake, which takes minutes
// for a long file that consists of mistakes.
func TestCheckTakesLinearTime(t *testing.T) {
	schema := validator.MustCompile("linear", []byte(`{"additionalProperties": false}`))
	var text strings.Builder
	const names = 100_000
	for i := range names {
		fmt.Fprintf(&text, "\n\"%d\": 1,", i)
	}
	start := processorTime(t)
	source, _ := validator.Parse("long", []byte("{"+text.String()+"}"), 1<<21)
	problems := schema.Check(source)
	if len(problems) != names {
		t.Errorf("got %d problems, want %d", len(problems), names)
	}
	if message := problems.Error(); len(message) > 10_000 || !strings.HasSuffix(message, "and 99900 more") {
		t.Errorf("got a message of %d bytes", len(message))
	}
	if used := processorTime(t) - start; used > 10*time.Second {
		t.Errorf("used %s of processor time, want at most 10s", used)
	}
}
