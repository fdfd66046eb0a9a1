package parser

import (
	"bytes"
	"encoding/json"

	"github.com/tailscale/hujson"
)

// Parse reads a document written as JSON with comments.
func Parse(text []byte) (*Document, error) {
	standard, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return nil, &Error{Op: "parse", Kind: KindMalformed, Err: err}
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	var doc Document
	if err := decoder.Decode(&doc); err != nil {
		return nil, &Error{Op: "parse", Kind: KindMalformed, Err: err}
	}
	return &doc, nil
}
