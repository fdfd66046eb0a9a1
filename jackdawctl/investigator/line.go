// Package investigator explains the outcome of a request from the logs of entry
// VMs.
package investigator

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Log keys and messages.
const (
	fieldTime    = "ts"
	fieldNode    = "node"
	fieldMessage = "msg"
	fieldRequest = "request"
	fieldTarget  = "target"
	// fieldTroubles lists the sub-requests that failed, were slow or were still open
	// at the end of the request.
	fieldTroubles = "troubles"
	fieldReason   = "reason"
	// fieldForVM names the VM that has passed a request on.
	fieldForVM = "for-vm"
	// fieldLimited counts the sub-requests for which the limits of targets left no room.
	fieldLimited = "limited"
	// fieldNamed tells whether a target names a limit.
	fieldNamed = "named"
	// fieldFingerprint is the same for equal requests; fieldFingerprints lists those that
	// were in flight at a lost target.
	fieldFingerprint  = "fingerprint"
	fieldFingerprints = "fingerprints"
	// fieldGivenUp lists the fingerprints of requests that had been given up at a lost target.
	fieldGivenUp = "given-up"
	// fieldPause is how long a target wants no requests.
	fieldPause = "pause"

	messageEnded   = "request ended"
	messageRefused = "request refused"
	// messageDelegated is logged by a VM that has passed a request to another one, and
	// fieldForVM by VMs that were asked to take it.
	messageDelegated = "request delegated"
	messageLimit     = "target limit"
	messagePause     = "target asks for a pause"
	messageLeaving   = "target says that it leaves"

	reasonOverload = "overload"
	// outcomeRefused is the outcome of a sub-request that its target did not run.
	outcomeRefused = "refused"
)

// Line is a parsed log line.
type Line struct {
	At      time.Time
	Node    string
	Message string
	// Fields holds the other fields in the order of the line.
	Fields []Field
}

// Field is a key-value pair of a log line.
type Field struct{ Name, Value string }

// Value returns the value of the named field, or "" if the line lacks it.
func (l Line) Value(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// maxLineBytes limits the memory for one line; the rest of a longer one is skipped.
const maxLineBytes = 1 << 20

// readLines calls visit for each log line. It returns the number of lines that are
// not log lines, such as the stack trace of a crash or a line that is too long.
func readLines(r io.Reader, visit func(Line)) (unreadable int, err error) {
	reader := bufio.NewReaderSize(r, maxLineBytes)
	for {
		text, err := reader.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			unreadable++
			err = skipLine(reader)
			text = nil
		}
		if text = bytes.TrimRight(text, "\r\n"); len(text) > 0 {
			if line, ok := parseLine(text); ok {
				visit(line)
			} else {
				unreadable++
			}
		}
		if errors.Is(err, io.EOF) {
			return unreadable, nil
		}
		if err != nil {
			return unreadable, err
		}
	}
}

// skipLine reads to the end of a line.
func skipLine(reader *bufio.Reader) error {
	for {
		_, err := reader.ReadSlice('\n')
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// parseLine decodes a logfmt line. It reports false for a line that is malformed or
// has no timestamp.
func parseLine(text []byte) (Line, bool) {
	decoder := logfmt.NewDecoder(bytes.NewReader(text))
	var line Line
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			value := string(decoder.Value())
			switch name := string(decoder.Key()); name {
			case fieldTime:
				at, err := time.Parse(time.RFC3339Nano, value)
				if err != nil {
					return Line{}, false
				}
				line.At = at
			case fieldNode:
				line.Node = value
			case fieldMessage:
				line.Message = value
			default:
				line.Fields = append(line.Fields, Field{name, value})
			}
		}
	}
	return line, decoder.Err() == nil && !line.At.IsZero()
}
