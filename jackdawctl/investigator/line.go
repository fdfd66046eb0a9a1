// Package investigator finds in the logs of entry VMs why a request ended as it
// did.
package investigator

import (
	"bufio"
	"bytes"
	"io"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Names of fields and messages in the logs.
const (
	fieldAt      = "ts"
	fieldNode    = "node"
	fieldMessage = "msg"
	fieldRequest = "request"
	fieldTarget  = "target"
	fieldTrouble = "troubles"

	messageEnded   = "request ended"
	messageRefused = "request refused"
)

// Line is one line of a log.
type Line struct {
	At      time.Time
	Node    string
	Message string
	// Fields holds the values in their order, without time, node and message.
	Fields []Field
}

// Field is a value of a line under its name.
type Field struct{ Name, Value string }

// Value returns the value of a field, empty if the line has none.
func (l Line) Value(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// maxLine bounds a line of a log in bytes.
const maxLine = 1 << 20

// read gives each line that has a time to visit, and returns the number of the
// others, such as those of a runtime that ends.
func read(r io.Reader, visit func(Line)) (unreadable int, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		line, ok := parse(lines.Bytes())
		if !ok {
			unreadable++
			continue
		}
		visit(line)
	}
	return unreadable, lines.Err()
}

// parse reads a line of key=value pairs.
func parse(text []byte) (Line, bool) {
	decoder := logfmt.NewDecoder(bytes.NewReader(text))
	var line Line
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			value := string(decoder.Value())
			switch name := string(decoder.Key()); name {
			case fieldAt:
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
