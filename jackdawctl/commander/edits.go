package commander

import (
	"bytes"
	"context"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"jackdawcart.org/core/parser"
	"jackdawcart.org/jackdawctl/editor"
)

const (
	flagYes = "yes"
	flagTo  = "to"
)

var revisionHeaderPattern = regexp.MustCompile(`^` + revisionHeader + `(\S+) at revision (\d+)\n`)

func (p *program) editCommands() []*cli.Command {
	return []*cli.Command{
		{
			Name: "apply", Usage: "write documents into the store", ArgsUsage: "FILE...",
			Description: "Writes a document only if the store still has the revision that the operator saw.\n" +
				"That is the revision of --revision, or of the first line that the show command\n" +
				"writes, or the one whose differences are shown for confirmation.",
			Flags: editFlags(), Action: p.apply,
		},
		{
			Name: "roll-back", Usage: "write a former revision of a document again", ArgsUsage: "SERVICE",
			Flags: append(editFlags(), &cli.Uint64Flag{
				Name: flagTo, Usage: "former revision, see the history command (required)",
			}),
			Action: p.rollBack,
		},
		{
			Name: "delete", Usage: "replace the document of a service by a tombstone", ArgsUsage: "SERVICE",
			Flags: editFlags(), Action: p.delete,
		},
	}
}

func editFlags() []cli.Flag {
	return []cli.Flag{
		&cli.Uint64Flag{Name: flagRevision, Usage: "revision that you saw; 0 for a new service"},
		&cli.BoolFlag{Name: flagYes, Usage: "don't ask for confirmation"},
	}
}

// pendingEdit is one document to be written.
type pendingEdit struct {
	service  string
	text     []byte
	document *parser.Document
	// baseRevision is the revision that the operator edited, if hasBase is set.
	baseRevision uint64
	hasBase      bool
}

// editResult is the outcome of one edit.
type editResult struct {
	Service  string         `json:"service"`
	Outcome  string         `json:"outcome"`
	Revision uint64         `json:"revision"`
	Edit     string         `json:"edit,omitempty"`
	Changes  parser.Changes `json:"changes"`
}

// Outcomes of an edit.
const (
	outcomeWritten   = "written"
	outcomeUnchanged = "unchanged"
)

// apply parses all files before it writes any document. It stops at the first write
// that fails.
func (p *program) apply(ctx context.Context, cmd *cli.Command) error {
	if !cmd.Args().Present() {
		return usageError("name the files to apply")
	}
	if cmd.IsSet(flagRevision) && cmd.Args().Len() > 1 {
		return usageError("--%s goes with one file", flagRevision)
	}
	var edits []*pendingEdit
	var mistakes []string
	code := ExitOK
	for _, path := range cmd.Args().Slice() {
		edit, err := p.readEdit(path)
		if err != nil {
			mistakes = append(mistakes, err.Error())
			code = max(code, exitCode(err))
			continue
		}
		edits = append(edits, edit)
	}
	if len(mistakes) > 0 {
		return withCode(merry.New(strings.Join(mistakes, "\n")), code)
	}
	return p.writeEdits(ctx, cmd, edits)
}

func (p *program) readEdit(path string) (*pendingEdit, error) {
	text, err := p.readInput(path)
	if err != nil {
		return nil, err
	}
	doc, err := parser.ParseFile(path, text)
	if err != nil {
		return nil, err
	}
	edit := &pendingEdit{service: doc.Service, text: text, document: doc}
	match := revisionHeaderPattern.FindSubmatch(text)
	if match == nil {
		return edit, nil
	}
	edit.text = text[len(match[0]):]
	if string(match[1]) != doc.Service {
		return edit, nil
	}
	edit.baseRevision, err = strconv.ParseUint(string(match[2]), 10, 64)
	edit.hasBase = err == nil
	return edit, nil
}

func (p *program) rollBack(ctx context.Context, cmd *cli.Command) error {
	service, err := serviceArgument(cmd)
	if err != nil {
		return err
	}
	if !cmd.IsSet(flagTo) {
		return usageError("--%s is needed", flagTo)
	}
	e, err := p.editor(cmd)
	if err != nil {
		return err
	}
	former, err := e.Revision(ctx, service, cmd.Uint64(flagTo))
	if err != nil {
		return err
	}
	if former.Document == nil {
		return withCode(merry.Errorf("revision %d of %s is not valid any more", former.Revision, service), ExitInvalid)
	}
	return p.writeEdits(ctx, cmd, []*pendingEdit{{service: service, text: []byte(former.Text), document: former.Document}})
}

func (p *program) delete(ctx context.Context, cmd *cli.Command) error {
	service, err := serviceArgument(cmd)
	if err != nil {
		return err
	}
	doc := &parser.Document{Service: service, Deleted: true}
	text, err := doc.Encode()
	if err != nil {
		return err
	}
	return p.writeEdits(ctx, cmd, []*pendingEdit{{service: service, text: text, document: doc}})
}

// writeEdits writes edits in order until one fails. It prints the outcomes in any
// case.
func (p *program) writeEdits(ctx context.Context, cmd *cli.Command, edits []*pendingEdit) error {
	e, err := p.editor(cmd)
	if err != nil {
		return err
	}
	results := []editResult{}
	var failure error
	for _, edit := range edits {
		if cmd.IsSet(flagRevision) {
			edit.baseRevision, edit.hasBase = cmd.Uint64(flagRevision), true
		}
		result, err := p.writeEdit(ctx, cmd, e, edit)
		if err != nil {
			failure = err
			break
		}
		results = append(results, result)
	}
	err = p.print(cmd, results, func() {
		for _, r := range results {
			fmt.Fprintf(p.out, "%s: %s, revision %d\n", r.Service, r.Outcome, r.Revision)
		}
	})
	if failure != nil {
		return failure
	}
	return err
}

func (p *program) writeEdit(ctx context.Context, cmd *cli.Command, e *editor.Editor, edit *pendingEdit) (editResult, error) {
	current, err := e.Read(ctx, edit.service)
	if err != nil {
		return editResult{}, err
	}
	if edit.hasBase {
		if err := e.CheckRevision(ctx, edit.baseRevision, current); err != nil {
			return editResult{}, err
		}
	}
	if edit.document.Deleted && current.Revision == 0 {
		return editResult{}, notFoundError(edit.service)
	}
	changes, err := parser.Diff(current.Document, edit.document)
	if err != nil {
		return editResult{}, err
	}
	if changes == nil {
		changes = parser.Changes{}
	}
	result := editResult{Service: edit.service, Outcome: outcomeUnchanged, Revision: current.Revision, Changes: changes}
	if len(changes) == 0 && sameText(current.Text, edit.text) {
		return result, nil
	}
	if !edit.hasBase && !cmd.Bool(flagYes) {
		if err := p.confirm(edit.service, current.Revision, changes); err != nil {
			return editResult{}, err
		}
	}
	written, err := e.Write(ctx, current, edit.text)
	if err != nil {
		return editResult{}, err
	}
	result.Outcome, result.Revision = outcomeWritten, written.Revision
	if written.Document != nil {
		result.Edit = written.Document.Edit
	}
	return result, nil
}

// sameText reports whether two texts are equal, comments included, apart from the
// edit identifier.
func sameText(current string, text []byte) bool {
	a, err := parser.SetEdit([]byte(current), "")
	if err != nil {
		return false
	}
	b, err := parser.SetEdit(text, "")
	return err == nil && bytes.Equal(a, b)
}

// confirm shows the changes and asks the operator for confirmation.
func (p *program) confirm(service string, revision uint64, changes parser.Changes) error {
	shown := changes.String()
	if len(changes) == 0 {
		shown = "(comments only)"
	}
	fmt.Fprintf(p.errors, "changes of %s from revision %d:\n%s\nwrite? [y/N] ", service, revision, shown)
	answer, err := p.in.ReadString('\n')
	if err != nil && answer == "" {
		return withCode(merry.Errorf("%s: not confirmed; nothing was written", service), ExitDeclined)
	}
	if answer = strings.ToLower(strings.TrimSpace(answer)); answer != "y" && answer != "yes" {
		return withCode(merry.Errorf("%s: declined; nothing was written", service), ExitDeclined)
	}
	return nil
}
