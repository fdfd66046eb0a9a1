// Package configurer reads the settings of an entry VM that the platform does not
// provide.
package configurer

import (
	_ "embed" // for the schema
	"fmt"
	"os"
	"time"

	"go.uber.org/zap/zapcore"

	"jackdawcart.org/core/validator"
)

// maxFileBytes bounds the settings file.
const maxFileBytes = 1 << 20

//go:embed settings.schema.json
var schemaText []byte

var schema = validator.MustCompile("settings.schema.json", schemaText)

// Settings are the values of the settings file.
type Settings struct {
	LogLevel zapcore.Level `json:"log-level"`
	// MetricsPort is the offset of the metrics port from the first internal port.
	MetricsPort int `json:"metrics-port"`
	// PeerPort is the offset of the port on which other VMs of the failure domain
	// poll this one.
	PeerPort int `json:"peer-port"`
	// RequestPort is the offset of the port on which this VM takes requests of callers
	// that other VMs cannot serve.
	RequestPort int `json:"request-port"`
	// QuotaPort is the offset of the port on which other VMs ask for tokens of quotas.
	QuotaPort int `json:"quota-port"`
	// TraceEndpoint is the address to which spans are exported; empty disables them.
	TraceEndpoint string  `json:"trace-endpoint"`
	TraceShare    float64 `json:"trace-share"`
	// StoreTimeout bounds a call to the platform's store.
	StoreTimeout time.Duration `json:"store-timeout"`
	// CallerTime is the part of a route's latency objective that is reserved for the
	// network path to the caller.
	CallerTime time.Duration `json:"caller-time"`
	// MinHedgeShare is the share of a route's latency objective before which no hedge is
	// sent; 0 means no bound.
	MinHedgeShare float64 `json:"min-hedge-share"`
}

// Defaults returns the settings that apply where the file gives no value.
func Defaults() Settings {
	return Settings{
		LogLevel:     zapcore.InfoLevel,
		MetricsPort:  1,
		PeerPort:     2,
		RequestPort:  3,
		QuotaPort:    0,
		TraceShare:   0.001,
		StoreTimeout: time.Second,
		CallerTime:   9 * time.Millisecond,
	}
}

// Error is the error type of this package.
type Error struct {
	Op  string
	Err error
}

// Error returns the message, prefixed with its origin.
func (e *Error) Error() string { return fmt.Sprintf("configurer: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Load reads and checks the file at path; an empty path gives the defaults.
func Load(path string) (Settings, error) {
	if path == "" {
		return Defaults(), nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &Error{Op: "load", Err: err}
	}
	return Parse(path, text)
}

// Parse reads and checks the text of a settings file.
func Parse(file string, text []byte) (Settings, error) {
	source, problems := validator.Parse(file, text, maxFileBytes)
	if source == nil {
		return Settings{}, &Error{Op: "parse", Err: problems}
	}
	problems = append(problems, schema.Check(source)...)
	settings := Defaults()
	if err := validator.Decode(source.StandardJSON(), &settings); err != nil {
		problems = problems.AppendNewFields(validator.Problems{source.Problem("", err.Error())})
	}
	if len(problems) > 0 {
		problems.Sort()
		return Settings{}, &Error{Op: "parse", Err: problems}
	}
	return settings, nil
}

// CheckPorts reports equal ports, and ports outside the internal range from first
// to last. QuotaPort is used only with quotas.
func (s Settings) CheckPorts(first, last uint16, quotas bool) error {
	maxOffset := int(last) - int(first)
	nameOf := make(map[int]string)
	type port struct {
		name   string
		offset int
	}
	ports := []port{{"metrics-port", s.MetricsPort}, {"peer-port", s.PeerPort}, {"request-port", s.RequestPort}}
	if quotas {
		ports = append(ports, port{"quota-port", s.QuotaPort})
	}
	for _, port := range ports {
		if port.offset > maxOffset {
			return &Error{Op: "check", Err: fmt.Errorf("%s: %d, allowed: at most %d, because the internal port range is %d to %d",
				port.name, port.offset, maxOffset, first, last)}
		}
		if other, ok := nameOf[port.offset]; ok {
			return &Error{Op: "check", Err: fmt.Errorf("%s and %s: both %d, allowed: two different numbers", other, port.name, port.offset)}
		}
		nameOf[port.offset] = port.name
	}
	return nil
}
