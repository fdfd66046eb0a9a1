package commander

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"jackdawcart.org/core/loader"
	"jackdawcart.org/core/parser"
	"jackdawcart.org/core/validator"
	"jackdawcart.org/jackdawctl/editor"
)

const (
	flagRevision = "revision"
	flagSettings = "settings"

	// revisionHeader starts the first line of the show command's output. The line
	// holds the revision, which the apply command takes as the base of the edit.
	revisionHeader = "// jackdawctl: "
)

func (p *program) documentCommands() []*cli.Command {
	return []*cli.Command{
		{
			Name: "validate", Usage: "check files and report every mistake", ArgsUsage: "FILE...",
			Flags: []cli.Flag{&cli.StringFlag{
				Name: flagSettings, Usage: "check settings of this program (gateway or relay) in place of documents",
			}},
			Action: p.validate,
		},
		{
			Name: "diff", Usage: "show the differences between a file and the store, or between two files",
			ArgsUsage: "FILE [FILE]", Action: p.diff,
		},
		{
			Name: "show", Usage: "show the document of a service, or list all services", ArgsUsage: "[SERVICE]",
			Flags:  []cli.Flag{&cli.Uint64Flag{Name: flagRevision, Usage: "show this revision from the history"}},
			Action: p.show,
		},
		{
			Name: "history", Usage: "list the revisions of a service", ArgsUsage: "SERVICE", Action: p.history,
		},
	}
}

func (p *program) validate(_ context.Context, cmd *cli.Command) error {
	program := loader.Program(cmd.String(flagSettings))
	if program != "" && program != loader.Gateway && program != loader.Relay {
		return usageError("--%s: %q is neither gateway nor relay", flagSettings, program)
	}
	if !cmd.Args().Present() {
		return usageError("name the files to check")
	}
	allProblems := validator.Problems{}
	for _, path := range cmd.Args().Slice() {
		problems, err := p.checkFile(path, program)
		if err != nil {
			return err
		}
		allProblems = append(allProblems, problems...)
	}
	if err := p.print(cmd, allProblems, func() {
		for _, problem := range allProblems {
			fmt.Fprintln(p.out, problem)
		}
	}); err != nil {
		return err
	}
	if len(allProblems) > 0 {
		return withCode(merry.Errorf("%d mistakes", len(allProblems)), ExitInvalid)
	}
	return nil
}

// checkFile returns the mistakes in a file. The error is for any other failure, such
// as a file that cannot be read.
func (p *program) checkFile(path string, program loader.Program) (validator.Problems, error) {
	text, err := p.readInput(path)
	if err != nil {
		return nil, err
	}
	if program == "" {
		_, err = parser.ParseFile(path, text)
	} else {
		_, err = loader.Parse(path, text, program)
	}
	var problems validator.Problems
	if err != nil && !errors.As(err, &problems) {
		return nil, err
	}
	return problems, nil
}

func (p *program) diff(ctx context.Context, cmd *cli.Command) error {
	const maxFiles = 2
	if n := cmd.Args().Len(); n < 1 || n > maxFiles {
		return usageError("name one or two files")
	}
	last, err := p.parseFile(cmd.Args().Get(cmd.Args().Len() - 1))
	if err != nil {
		return err
	}
	first, err := p.diffBase(ctx, cmd, last.Service)
	if err != nil {
		return err
	}
	changes, err := parser.Diff(first, last)
	if err != nil {
		return err
	}
	if changes == nil {
		changes = parser.Changes{}
	}
	if err := p.print(cmd, changes, func() {
		if len(changes) > 0 {
			fmt.Fprintln(p.out, changes)
		}
	}); err != nil {
		return err
	}
	if len(changes) > 0 {
		return withCode(merry.Errorf("%d differences", len(changes)), ExitDifferent)
	}
	return nil
}

// diffBase returns the document to compare with: the first of two files, or the
// current one in the store.
func (p *program) diffBase(ctx context.Context, cmd *cli.Command, service string) (*parser.Document, error) {
	if cmd.Args().Len() > 1 {
		return p.parseFile(cmd.Args().First())
	}
	e, err := p.editor(cmd)
	if err != nil {
		return nil, err
	}
	stored, err := e.Read(ctx, service)
	if err != nil {
		return nil, err
	}
	return stored.Document, nil
}

func (p *program) parseFile(path string) (*parser.Document, error) {
	text, err := p.readInput(path)
	if err != nil {
		return nil, err
	}
	return parser.ParseFile(path, text)
}

// summary is one row of a service list or a history.
type summary struct {
	Service  string    `json:"service"`
	Revision uint64    `json:"revision"`
	Edit     string    `json:"edit,omitempty"`
	EditedAt time.Time `json:"edited-at,omitzero"`
	State    string    `json:"state"`
}

// States of a document in a summary.
const (
	stateCurrent  = "current"
	stateReplaced = "replaced"
	stateDeleted  = "deleted"
	stateInvalid  = "invalid"
)

func summarise(stored *editor.StoredDocument, state string) summary {
	s := summary{Service: stored.Service, Revision: stored.Revision, State: state}
	switch {
	case stored.Document == nil:
		s.State = stateInvalid
		return s
	case stored.Document.Deleted:
		s.State = stateDeleted
	}
	s.Edit = stored.Document.Edit
	s.EditedAt, _ = editor.EditTime(s.Edit)
	return s
}

func (p *program) printSummaries(cmd *cli.Command, summaries []summary) error {
	return p.print(cmd, summaries, func() {
		var rows [][]any
		for _, s := range summaries {
			rows = append(rows, []any{s.Service, s.Revision, s.State, formatTime(s.EditedAt), s.Edit})
		}
		p.printTable("SERVICE REVISION STATE EDITED EDIT", rows)
	})
}

func formatTime(at time.Time) string {
	if at.IsZero() {
		return ""
	}
	return at.UTC().Format(time.RFC3339)
}

func (p *program) show(ctx context.Context, cmd *cli.Command) error {
	e, err := p.editor(cmd)
	if err != nil {
		return err
	}
	if !cmd.Args().Present() {
		return p.showAll(ctx, cmd, e)
	}
	service, err := serviceArgument(cmd)
	if err != nil {
		return err
	}
	stored, err := p.readStored(ctx, cmd, e, service)
	if err != nil {
		return err
	}
	value := struct {
		summary
		Text string `json:"text"`
	}{summarise(stored, stateCurrent), stored.Text}
	return p.print(cmd, value, func() {
		fmt.Fprintf(p.out, "%s%s at revision %d\n%s\n", revisionHeader, service, stored.Revision, strings.TrimRight(stored.Text, "\n"))
	})
}

func (p *program) showAll(ctx context.Context, cmd *cli.Command, e *editor.Editor) error {
	documents, err := e.List(ctx)
	if err != nil {
		return err
	}
	summaries := []summary{}
	for _, stored := range documents {
		summaries = append(summaries, summarise(stored, stateCurrent))
	}
	return p.printSummaries(cmd, summaries)
}

// readStored returns the document at the revision of the command line, or the
// current one by default.
func (p *program) readStored(ctx context.Context, cmd *cli.Command, e *editor.Editor, service string) (*editor.StoredDocument, error) {
	if cmd.IsSet(flagRevision) {
		return e.Revision(ctx, service, cmd.Uint64(flagRevision))
	}
	stored, err := e.Read(ctx, service)
	if err == nil && stored.Revision == 0 {
		return nil, notFoundError(service)
	}
	return stored, err
}

// serviceArgument returns the only argument of a command, a service name.
func serviceArgument(cmd *cli.Command) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", usageError("name one service")
	}
	service := cmd.Args().First()
	if err := validator.CheckName(service); err != nil {
		return "", usageError("service: %v", err)
	}
	return service, nil
}

func notFoundError(service string) error {
	return withCode(merry.Errorf("no service %q in the store", service), ExitNotFound)
}

func (p *program) history(ctx context.Context, cmd *cli.Command) error {
	service, err := serviceArgument(cmd)
	if err != nil {
		return err
	}
	e, err := p.editor(cmd)
	if err != nil {
		return err
	}
	current, err := p.readStored(ctx, cmd, e, service)
	if err != nil {
		return err
	}
	replaced, err := e.History(ctx, service)
	if err != nil {
		return err
	}
	summaries := []summary{summarise(current, stateCurrent)}
	for i := len(replaced) - 1; i >= 0; i-- {
		if replaced[i].Revision == current.Revision {
			continue
		}
		at, _ := replaced[i].WrittenAt()
		summaries = append(summaries, summary{
			Service: service, Revision: replaced[i].Revision, Edit: replaced[i].Edit, EditedAt: at, State: stateReplaced,
		})
	}
	return p.printSummaries(cmd, summaries)
}
