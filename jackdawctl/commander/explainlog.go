package commander

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"jackdawcart.org/jackdawctl/investigator"
)

const (
	flagLog     = "log"
	flagRequest = "request"
)

// explainLog explains the outcome of a request from the logs of entry VMs.
func (p *program) explainLog(cmd *cli.Command) error {
	request, paths := cmd.String(flagRequest), cmd.StringSlice(flagLog)
	if request == "" || len(paths) == 0 {
		return usageError("--%s and --%s are needed together", flagRequest, flagLog)
	}
	explanation, err := investigator.Explain(func() (io.ReadCloser, error) { return openLogs(paths) }, request)
	var e *investigator.Error
	if errors.As(err, &e) && e.Kind == investigator.KindNotFound {
		return withCode(err, ExitNotFound)
	}
	if err != nil {
		return err
	}
	return p.print(cmd, explanation, func() { p.printLogExplanation(explanation) })
}

// logFiles reads the concatenation of its files.
type logFiles struct {
	io.Reader
	open []*os.File
}

func openLogs(paths []string) (io.ReadCloser, error) {
	f := &logFiles{}
	var readers []io.Reader
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, errors.Join(err, f.Close())
		}
		f.open = append(f.open, file)
		// Ends the last line of a file that lacks a final newline.
		readers = append(readers, file, strings.NewReader("\n"))
	}
	f.Reader = io.MultiReader(readers...)
	return f, nil
}

// Close closes all files.
func (f *logFiles) Close() error {
	var errs []error
	for _, file := range f.open {
		errs = append(errs, file.Close())
	}
	return errors.Join(errs...)
}

func (p *program) printLogExplanation(explanation investigator.Explanation) {
	line := func(format string, args ...any) { fmt.Fprintf(p.out, format+"\n", args...) }
	line("%s on %s at %s", explanation.Request.Message, explanation.Request.Node, formatTime(explanation.Request.At))
	for _, f := range explanation.Request.Fields {
		line("  %s: %s", f.Name, strings.ReplaceAll(f.Value, "; ", "\n    "))
	}
	if len(explanation.Hops) > 0 {
		line("the request on other VMs:")
		for _, l := range explanation.Hops {
			line("  %s %s %s %s", formatTime(l.At), l.Node, l.Message, formatFields(l))
		}
	}
	line("state changes on its VMs in the 10 seconds before:")
	for _, l := range explanation.StateChanges {
		line("  %s %s %s %s", formatTime(l.At), l.Node, l.Message, formatFields(l))
	}
	if len(explanation.EqualRequests) > 0 {
		line("equal requests, and targets lost under them, on all VMs until then:")
		for _, l := range explanation.EqualRequests {
			line("  %s %s %s %s", formatTime(l.At), l.Node, l.Message, formatFields(l))
		}
	}
	line("troubles of other requests at its targets within a second:")
	for _, t := range explanation.Targets {
		var counts []string
		for _, outcome := range slices.Sorted(maps.Keys(t.Others)) {
			counts = append(counts, fmt.Sprintf("%d %s", t.Others[outcome], outcome))
		}
		if len(counts) == 0 {
			line("  %s: none", t.ID)
			continue
		}
		line("  %s: %s, on %d VMs", t.ID, strings.Join(counts, ", "), t.VMs)
	}
	if explanation.Unreadable > 0 {
		line("%d lines could not be read", explanation.Unreadable)
	}
}

func formatFields(l investigator.Line) string {
	fields := make([]string, len(l.Fields))
	for i, f := range l.Fields {
		fields[i] = f.Name + "=" + f.Value
	}
	return strings.Join(fields, " ")
}
