// Package reporter writes the report directory of a run and reads its record.
package reporter

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"jackdawcart.org/loadtool/driver"
	"jackdawcart.org/loadtool/measurer"
)

// Names of the files in a report directory.
const (
	recordFile   = "record.json.gz"
	reportFile   = "report.json"
	markdownFile = "report.md"
)

const (
	directoryMode = 0o755
	fileMode      = 0o644
)

// SaveRun writes the run to the directory, from which reports can be created
// again.
func SaveRun(directory string, run *driver.Run) error {
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return newError("save-run", err)
	}
	var body bytes.Buffer
	compressor := gzip.NewWriter(&body)
	if err := json.NewEncoder(compressor).Encode(run); err != nil {
		return newError("save-run", err)
	}
	if err := compressor.Close(); err != nil {
		return newError("save-run", err)
	}
	if err := os.WriteFile(filepath.Join(directory, recordFile), body.Bytes(), fileMode); err != nil {
		return newError("save-run", err)
	}
	return nil
}

// LoadRun reads a run that SaveRun wrote.
func LoadRun(directory string) (*driver.Run, error) {
	body, err := os.ReadFile(filepath.Join(directory, recordFile))
	if err != nil {
		return nil, newError("load-run", err)
	}
	decompressor, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, newError("load-run", err)
	}
	var run driver.Run
	if err := json.NewDecoder(decompressor).Decode(&run); err != nil {
		return nil, newError("load-run", err)
	}
	return &run, nil
}

// Write writes the report as JSON, as Markdown and as plots.
func Write(directory string, report *measurer.Report) error {
	body, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return newError("write", err)
	}
	if err := os.WriteFile(filepath.Join(directory, reportFile), append(body, '\n'), fileMode); err != nil {
		return newError("write", err)
	}
	if err := os.WriteFile(filepath.Join(directory, markdownFile), []byte(Markdown(report)), fileMode); err != nil {
		return newError("write", err)
	}
	return saveCharts(directory, report)
}

// Error is the error type of this package.
type Error struct {
	Op  string
	Err error
}

// Error returns the message, prefixed with its origin.
func (e *Error) Error() string { return fmt.Sprintf("reporter: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func newError(op string, err error) error { return &Error{Op: op, Err: err} }
