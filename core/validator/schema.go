// Package validator checks JSON with comments against a JSON schema and
// reports every mistake at once with its file, line and field.
package validator

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"regexp"
	"time"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// maxNameLength is the maximum length in bytes of a name, which must fit one
// segment of a store key.
const maxNameLength = 63

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)
	english     = message.NewPrinter(language.English)
)

// Schema is a compiled JSON schema. In addition to the standard formats, it
// supports "go-duration", "address-port" and "key-name".
type Schema struct {
	compiled *jsonschema.Schema
}

// MustCompile compiles a schema that is embedded in the program. It panics if the
// schema is invalid.
func MustCompile(name string, text []byte) *Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		panic(fmt.Sprintf("validator: schema %s: %v", name, err))
	}
	compiler := jsonschema.NewCompiler()
	compiler.AssertFormat()
	for format, check := range formats {
		compiler.RegisterFormat(&jsonschema.Format{Name: format, Validate: stringFormat(check)})
	}
	if err := compiler.AddResource(name, doc); err != nil {
		panic(fmt.Sprintf("validator: schema %s: %v", name, err))
	}
	return &Schema{compiled: compiler.MustCompile(name)}
}

// Check returns every violation of the schema in the source.
func (s *Schema) Check(source *Source) Problems {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(source.StandardJSON()))
	if err != nil {
		return Problems{source.Problem("", err.Error())}
	}
	err = s.compiled.Validate(doc)
	if err == nil {
		return nil
	}
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return Problems{source.Problem("", err.Error())}
	}
	return collectProblems(source, invalid)
}

// collectProblems returns the problems at the leaves of a validation error tree.
func collectProblems(source *Source, invalid *jsonschema.ValidationError) Problems {
	if len(invalid.Causes) > 0 {
		var problems Problems
		for _, cause := range invalid.Causes {
			problems = append(problems, collectProblems(source, cause)...)
		}
		return problems
	}
	pointer := ""
	for _, part := range invalid.InstanceLocation {
		pointer += "/" + escapePointerToken(part)
	}
	var problems Problems
	switch k := invalid.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		for _, name := range k.Properties {
			problems = append(problems, source.Problem(pointer+"/"+escapePointerToken(name), "unknown name"))
		}
	case *kind.Required:
		for _, name := range k.Missing {
			problems = append(problems, source.Problem(pointer+"/"+escapePointerToken(name), "missing"))
		}
	case *kind.Format:
		source.invalid.Add(pointer)
		problems = append(problems, source.Problem(pointer, k.Err.Error()))
	default:
		source.invalid.Add(pointer)
		problems = append(problems, source.Problem(pointer, k.LocalizedString(english)))
	}
	return problems
}

var formats = map[string]func(string) error{
	"go-duration":  checkDuration,
	"address-port": checkAddress,
	"key-name":     CheckName,
}

func stringFormat(check func(string) error) func(any) error {
	return func(v any) error {
		text, ok := v.(string)
		if !ok {
			return nil
		}
		return check(text)
	}
}

func checkDuration(text string) error {
	if _, err := time.ParseDuration(text); err != nil {
		return fmt.Errorf("%q is not a duration such as \"2s\" or \"130ms\"", text)
	}
	return nil
}

func checkAddress(text string) error {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return fmt.Errorf("%q is not an IP address with a port, such as \"10.0.0.7:8080\"", text)
	}
	if address.Port() == 0 {
		return fmt.Errorf("%q has no port", text)
	}
	return nil
}

// CheckName returns an error unless the name is a valid store key segment:
// lower-case letters, digits, dots and hyphens, and at most 63 bytes.
func CheckName(name string) error {
	if len(name) > maxNameLength {
		return fmt.Errorf("name is %d bytes long, the limit is %d", len(name), maxNameLength)
	}
	if !namePattern.MatchString(name) {
		return fmt.Errorf("%q is not a name of lower-case letters, digits, dots and hyphens", name)
	}
	return nil
}
