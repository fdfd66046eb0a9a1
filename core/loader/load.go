package loader

import (
	_ "embed" // for the schema
	"io"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"jackdawcart.org/core/validator"
)

// Program identifies the program that loads the settings. The required fields
// depend on it.
type Program string

// Programs that read settings.
const (
	Gateway Program = "gateway"
	Relay   Program = "relay"
)

// maxFileBytes is the maximum size of settings and key files.
const maxFileBytes = 1 << 20

var (
	//go:embed settings.schema.json
	schemaText []byte
	schema     = validator.MustCompile("settings.schema.json", schemaText)
)

// Load reads and validates the settings file of a program. For an invalid file,
// the error lists every mistake with its file, line and field.
func Load(path string, program Program) (*Settings, error) {
	text, err := readFile(path)
	if err != nil {
		return nil, &Error{Op: "load", Kind: KindUnreadable, Err: err}
	}
	settings, err := Parse(path, text, program)
	if err != nil {
		return nil, err
	}
	if !filepath.IsAbs(settings.KeyFile) {
		settings.KeyFile = filepath.Join(filepath.Dir(path), settings.KeyFile)
	}
	return settings, nil
}

// Parse parses and validates the text of a settings file.
func Parse(file string, text []byte, program Program) (*Settings, error) {
	source, problems := validator.Parse(file, text, maxFileBytes)
	if source == nil {
		return nil, &Error{Op: "parse", Kind: KindInvalid, Err: problems}
	}
	problems = append(problems, schema.Check(source)...)
	settings := Defaults()
	if err := validator.Decode(source.StandardJSON(), &settings); err != nil {
		problems = problems.AppendNewFields(validator.Problems{source.Problem("", err.Error())})
	}
	problems = problems.AppendNewFields(checkSemantics(source, &settings, program))
	if len(problems) > 0 {
		problems.Sort()
		return nil, &Error{Op: "parse", Kind: KindInvalid, Err: problems}
	}
	return &settings, nil
}

// checkSemantics returns violations of rules that the schema cannot express.
func checkSemantics(source *validator.Source, s *Settings, program Program) validator.Problems {
	var problems validator.Problems
	report := func(pointer, message string) {
		problems = append(problems, source.Problem(pointer, message))
	}
	if program == Gateway && !s.CallerAddress.IsValid() {
		report("/caller-address", "missing; a gateway needs it")
	}
	if program == Gateway && len(s.Relays) == 0 {
		report("/relays", "missing; a gateway needs the relays of its failure domain")
	}
	if s.AdminAddress.IsValid() && s.AdminAddress == s.SessionAddress {
		report("/admin-address", "is the same as session-address")
	}
	if s.CallerAddress.IsValid() && (s.CallerAddress == s.SessionAddress || s.CallerAddress == s.AdminAddress) {
		report("/caller-address", "is the same as session-address or admin-address")
	}
	if !validEndpoint(s.TraceEndpoint) {
		report("/trace-endpoint", "is not an http or https URL with a host")
	}
	checkDurations(s, report)
	checkNeighbours(s, report)
	return problems
}

func validEndpoint(endpoint string) bool {
	if endpoint == "" {
		return true
	}
	parsed, err := url.Parse(endpoint)
	return err == nil && (parsed.Scheme == "http" || parsed.Scheme == "https") && parsed.Host != ""
}

func checkDurations(s *Settings, report func(pointer, message string)) {
	ranges := []struct {
		name            string
		value           time.Duration
		lowest, highest time.Duration
	}{
		{"leave-time", s.LeaveTime, 0, time.Minute},
		{"drain-time", s.DrainTime, time.Second, 10 * time.Minute},
		{"ticket-expiry", s.TicketExpiry, time.Second, 24 * time.Hour},
		{"header-timeout", s.HeaderTimeout, 100 * time.Millisecond, time.Minute},
		{"read-timeout", s.ReadTimeout, 100 * time.Millisecond, time.Minute},
		{"idle-timeout", s.IdleTimeout, time.Second, time.Hour},
	}
	for _, r := range ranges {
		if r.value < r.lowest || r.value > r.highest {
			report("/"+r.name, "is not between "+r.lowest.String()+" and "+r.highest.String())
		}
	}
}

func checkNeighbours(s *Settings, report func(pointer, message string)) {
	seen := make(map[string]bool)
	for i, neighbour := range s.Neighbours {
		pointer := "/neighbours/" + strconv.Itoa(i) + "/failure-domain"
		if neighbour.FailureDomain == "" {
			continue
		}
		if neighbour.FailureDomain == s.FailureDomain {
			report(pointer, "is the failure domain of this process")
		}
		if seen[neighbour.FailureDomain] {
			report(pointer, "is listed twice")
		}
		seen[neighbour.FailureDomain] = true
	}
}

// readFile reads a file up to one byte beyond maxFileBytes, so that the parsers
// can detect that the file is too long.
func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return io.ReadAll(io.LimitReader(file, maxFileBytes+1))
}
