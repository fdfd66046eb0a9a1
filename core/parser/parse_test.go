package parser_test

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"jackdawcart.org/core/parser"
	"jackdawcart.org/core/validator"
)

const valid = `{
  "service": "agenda-1",
  "team": "agenda",
  "sets": [
    {"name": "old", "targets": [
      {"name": "a-1", "address": "127.0.0.1:8301", "failure-domain": "rosario", "slots": 2, "connections": 25, "connect-time": "6ms"},
    ]},
    {"name": "new", "targets": [
      {"name": "b-1", "address": "127.0.0.1:8302", "failure-domain": "rosario", "slots": 2, "connections": 25, "connect-time": "6ms"},
    ]},
  ],
  // A tenth of the callers use the new system.
  "answering": {
    "lead": "old", "move": {"set": "new", "share": 0.1}, "fallback": "old",
    "deadline": "130ms", "minimum-coverage": 0.9, "priority": "normal", "hedge-budget": 0.05,
  },
}`

func mustParse(t testing.TB, text string) *parser.Document {
	t.Helper()
	doc, err := parser.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return doc
}

// Guards against a rule that is not checked, which would accept a document that
// no node can apply, and against a mistake reported at the wrong line.
func TestParseReportsEveryMistake(t *testing.T) {
	text, err := os.ReadFile("testdata/mistakes.json")
	if err != nil {
		t.Fatal(err)
	}
	_, err = parser.ParseFile("mistakes.json", text)
	var problems validator.Problems
	if !errors.As(err, &problems) {
		t.Fatalf("got error %v", err)
	}
	want, err := os.ReadFile("testdata/mistakes.txt")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), problems.Error()+"\n"); diff != "" {
		t.Fatal(diff)
	}
}

// Guards against accepting a document that exceeds the value limit of the store.
func TestParseRefusesLongDocument(t *testing.T) {
	_, err := parser.Parse([]byte(valid + strings.Repeat(" ", parser.MaxBytes)))
	if err == nil || !strings.Contains(err.Error(), "the limit is 1000000") {
		t.Fatalf("got error %v", err)
	}
}

// Guards against a tombstone that changes in a round trip, and against one with
// sets, which would leave unclear whether the service is deleted.
func TestTombstone(t *testing.T) {
	text, err := (&parser.Document{Service: "agenda-1", Deleted: true, Edit: "e"}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	want := &parser.Document{Service: "agenda-1", Deleted: true, Edit: "e"}
	if diff := cmp.Diff(want, mustParse(t, string(text))); diff != "" {
		t.Error(diff)
	}
	_, err = parser.Parse([]byte(strings.Replace(valid, `"team"`, `"deleted": true, "team"`, 1)))
	if err == nil {
		t.Error("a tombstone with sets was accepted")
	}
}

func ExampleDiff() {
	before, _ := parser.Parse([]byte(valid))
	text := strings.Replace(valid, `"share": 0.1`, `"share": 0.5`, 1)
	text = strings.Replace(text, "8302", "8303", 1)
	after, _ := parser.Parse([]byte(strings.Replace(text, `"fallback": "old",`, "", 1)))
	changes, _ := parser.Diff(before, after)
	fmt.Println(changes)
	// Output:
	// - answering.fallback: "old"
	// ~ answering.move.share: 0.1 -> 0.5
	// ~ sets[new].targets[b-1].address: "127.0.0.1:8302" -> "127.0.0.1:8303"
}

// Guards against an edit that removes the comments, which explain a document to
// its team.
func TestSetEditKeepsComments(t *testing.T) {
	for _, edit := range []string{"marta/1", "marta/2"} {
		text, err := parser.SetEdit([]byte(valid), edit)
		if err != nil {
			t.Fatal(err)
		}
		if doc := mustParse(t, string(text)); doc.Edit != edit {
			t.Errorf("got edit %q, want %q", doc.Edit, edit)
		}
		if !strings.Contains(string(text), "// A tenth of the callers") {
			t.Errorf("comment is lost: %s", text)
		}
	}
}

// Guards against a malformed document that causes a panic or an error without a
// line, and against a valid document that changes when it is stored.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"service": "a", "deleted": true}`))
	f.Add([]byte(`{"service": "a", "sets": [{"name": "x", "targets": [{}, null]}, 1], "answering": {"lead": "y"}}`))
	mistakes, err := os.ReadFile("testdata/mistakes.json")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(mistakes)
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, err := parser.Parse(text)
		if err != nil {
			var problems validator.Problems
			if !errors.As(err, &problems) || len(problems) == 0 || problems[0].Line < 1 {
				t.Fatalf("error without position: %v", err)
			}
			return
		}
		edited, err := parser.SetEdit(text, "e")
		if err != nil {
			t.Fatal(err)
		}
		encoded, err := doc.Encode()
		if err != nil {
			t.Fatal(err)
		}
		for _, again := range []string{string(encoded), string(edited)} {
			changes, err := parser.Diff(doc, mustParse(t, again))
			if err != nil || len(changes) > 0 {
				t.Fatalf("changed by storing: %v %v", changes, err)
			}
		}
	})
}
