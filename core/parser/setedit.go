package parser

import (
	"bytes"
	"encoding/json"

	"github.com/tailscale/hujson"
)

// SetEdit sets the edit identifier in the text of a document and preserves its
// comments.
func SetEdit(text []byte, edit string) ([]byte, error) {
	value, err := hujson.Parse(bytes.Clone(text))
	if err != nil {
		return nil, &Error{Op: "stamp", Kind: KindMalformed, Err: err}
	}
	patch, err := json.Marshal([]map[string]string{{"op": "add", "path": "/edit", "value": edit}})
	if err != nil {
		return nil, &Error{Op: "stamp", Kind: KindMalformed, Err: err}
	}
	if err := value.Patch(patch); err != nil {
		return nil, &Error{Op: "stamp", Kind: KindInvalid, Err: err}
	}
	value.Format()
	return value.Pack(), nil
}
