package commander

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"jackdawcart.org/core/parser"
)

const columnGap = 2

// print writes a value as JSON, or calls printText, depending on the output flag.
func (p *program) print(cmd *cli.Command, value any, printText func()) error {
	if cmd.String(flagOutput) != outputJSON {
		printText()
		return nil
	}
	encoder := json.NewEncoder(p.out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return merry.Prepend(encoder.Encode(value), "output")
}

// printTable writes aligned columns. An empty cell is shown as "-".
func (p *program) printTable(header string, rows [][]any) {
	writer := tabwriter.NewWriter(p.out, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(writer, strings.ReplaceAll(header, " ", "\t"))
	for _, row := range rows {
		cells := make([]string, len(row))
		for i := range row {
			cells[i] = fmt.Sprint(row[i])
			if cells[i] == "" {
				cells[i] = "-"
			}
		}
		fmt.Fprintln(writer, strings.Join(cells, "\t"))
	}
	_ = writer.Flush() // like the unchecked fmt.Fprintln calls on this stream
}

// readInput returns the text of a file, or of standard input for "-". It reads at
// most one byte over the size limit, so that the parser rejects longer input.
func (p *program) readInput(path string) ([]byte, error) {
	if path == "-" {
		text, err := io.ReadAll(io.LimitReader(p.in, parser.MaxBytes+1))
		return text, merry.Prepend(err, "standard input")
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	defer func() { _ = file.Close() }()
	text, err := io.ReadAll(io.LimitReader(file, parser.MaxBytes+1))
	return text, merry.Wrap(err)
}
