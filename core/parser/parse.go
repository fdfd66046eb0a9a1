package parser

import (
	_ "embed" // for the schema
	"encoding/json"

	"jackdawcart.org/core/validator"
)

// MaxBytes bounds the text of a document, as the platform's key-value service
// stores values up to 1 MB.
const MaxBytes = 1_000_000

var (
	//go:embed document.schema.json
	schemaText []byte
	schema     = validator.MustCompile("document.schema.json", schemaText)
)

// Parse reads and checks a document written as JSON with comments.
func Parse(text []byte) (*Document, error) {
	return ParseFile("document", text)
}

// ParseFile is like Parse and names the file in errors. The cause of an error
// is of the type validator.Problems and holds every mistake with its file,
// line and field.
func ParseFile(file string, text []byte) (*Document, error) {
	source, problems := validator.Parse(file, text, MaxBytes)
	if source == nil {
		return nil, &Error{Op: "parse", Kind: KindMalformed, Err: problems}
	}
	problems = append(problems, schema.Check(source)...)
	var doc Document
	if err := json.Unmarshal(source.Standard(), &doc); err != nil {
		problems = problems.AddNew(validator.Problems{source.Problem("", err.Error())})
	}
	problems = problems.AddNew(checkMeaning(source, &doc))
	if len(problems) > 0 {
		problems.Sort()
		return nil, &Error{Op: "parse", Kind: KindInvalid, Err: problems}
	}
	return &doc, nil
}
