package parser

import (
	_ "embed" // for the schema
	"encoding/json"

	"jackdawcart.org/core/validator"
)

// MaxBytes is the maximum size of a document. The platform's key-value service
// stores values of up to 1 MB.
const MaxBytes = 1_000_000

var (
	//go:embed document.schema.json
	schemaText []byte
	schema     = validator.MustCompile("document.schema.json", schemaText)
)

// Parse parses and validates a document in JSON with comments.
func Parse(text []byte) (*Document, error) {
	return ParseFile("document", text)
}

// ParseFile is like Parse but reports the given file name in errors. The wrapped
// error is a validator.Problems with the file, line and field of every mistake.
func ParseFile(file string, text []byte) (*Document, error) {
	source, problems := validator.Parse(file, text, MaxBytes)
	if source == nil {
		return nil, &Error{Op: "parse", Kind: KindMalformed, Err: problems}
	}
	problems = append(problems, schema.Check(source)...)
	var doc Document
	if err := json.Unmarshal(source.StandardJSON(), &doc); err != nil {
		problems = problems.AppendNewFields(validator.Problems{source.Problem("", err.Error())})
	}
	problems = problems.AppendNewFields(checkSemantics(source, &doc))
	if len(problems) > 0 {
		problems.Sort()
		return nil, &Error{Op: "parse", Kind: KindInvalid, Err: problems}
	}
	return &doc, nil
}
