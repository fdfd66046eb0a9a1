// Package commander implements the commands of jackdawctl.
package commander

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"runtime/debug"
	"time"

	"github.com/urfave/cli/v3"

	"jackdawcart.org/core/parser"
	"jackdawcart.org/core/validator"
	"jackdawcart.org/jackdawctl/editor"
	"jackdawcart.org/jackdawctl/storer"
	"jackdawcart.org/jackdawctl/viewer"
)

const (
	flagPlatform = "platform"
	flagNode     = "node"
	flagDiscover = "discover"
	flagOutput   = "output"
	flagTimeout  = "timeout"
	flagOperator = "operator"

	defaultTimeout = 5 * time.Second

	outputText = "text"
	outputJSON = "json"
)

// program holds the standard streams of one run.
type program struct {
	in     *bufio.Reader
	out    io.Writer
	errors io.Writer
}

// Run runs the command line and returns the exit code.
func Run(ctx context.Context, args []string, in io.Reader, out, errs io.Writer) int {
	p := &program{in: bufio.NewReader(in), out: out, errors: errs}
	root := p.command()
	err := root.Run(ctx, args)
	if err != nil {
		p.reportError(root, err)
	}
	return exitCode(err)
}

func (p *program) command() *cli.Command {
	return &cli.Command{
		Name:                  "jackdawctl",
		Usage:                 "edit service documents and look into nodes of jackdawcart",
		Version:               version(),
		EnableShellCompletion: true,
		Suggest:               true,
		Writer:                p.out,
		ErrWriter:             p.errors,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return withCode(err, ExitUsage)
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				return usageError("unknown command %q", cmd.Args().First())
			}
			return cli.ShowAppHelp(cmd)
		},
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: flagPlatform, Usage: "address of the platform's key-value service",
				Sources: cli.EnvVars("JACKDAWCTL_PLATFORM"),
			},
			&cli.StringSliceFlag{
				Name: flagNode, Usage: "admin address of a gateway or relay; repeat or separate by commas",
				Sources: cli.EnvVars("JACKDAWCTL_NODES"),
			},
			&cli.BoolFlag{Name: flagDiscover, Usage: "also ask all processes that the given nodes see"},
			&cli.StringFlag{Name: flagOutput, Value: outputText, Usage: "text or json", Validator: checkOutput},
			&cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "time for each request"},
			&cli.StringFlag{
				Name: flagOperator, Value: "operator", Usage: "name recorded with an edit",
				Sources: cli.EnvVars("JACKDAWCTL_OPERATOR", "USER"),
			},
		},
		Commands: p.commands(),
	}
}

func (p *program) commands() []*cli.Command {
	commands := p.documentCommands()
	commands = append(commands, p.editCommands()...)
	commands = append(commands, p.nodeCommands()...)
	commands = append(commands, p.explainCommand(), p.examplesCommand())
	for _, command := range commands {
		command.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return withCode(err, ExitUsage)
		}
	}
	return commands
}

func checkOutput(output string) error {
	if output != outputText && output != outputJSON {
		return fmt.Errorf("%q is neither text nor json", output)
	}
	return nil
}

// version returns the module version that the Go tool recorded in the binary.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version
}

// errorReport is the JSON form of an error.
type errorReport struct {
	Message  string             `json:"message"`
	ExitCode int                `json:"exit-code"`
	Problems validator.Problems `json:"problems,omitempty"`
	// Changes are the differences between the base and the current revision of a
	// conflict.
	Changes parser.Changes `json:"changes,omitempty"`
}

// reportError prints an error and, for a conflict, the changes since the base
// revision.
func (p *program) reportError(cmd *cli.Command, err error) {
	var conflict *editor.Conflict
	isConflict := errors.As(err, &conflict)
	if cmd.String(flagOutput) == outputJSON {
		report := errorReport{Message: err.Error(), ExitCode: exitCode(err)}
		errors.As(err, &report.Problems)
		if isConflict {
			report.Changes = conflict.Changes
		}
		_ = json.NewEncoder(p.errors).Encode(report) // like the unchecked fmt.Fprintf calls on this stream
		return
	}
	fmt.Fprintf(p.errors, "jackdawctl: %v\n", err)
	if isConflict {
		fmt.Fprintln(p.errors, conflictText(conflict))
	}
}

func conflictText(conflict *editor.Conflict) string {
	if conflict.BaseUnknown {
		return fmt.Sprintf("revision %d is not in the history; run \"jackdawctl show %s\"", conflict.BaseRevision, conflict.Service)
	}
	changes := conflict.Changes.String()
	if changes == "" {
		changes = "(comments only)"
	}
	return fmt.Sprintf("changes from revision %d to %d:\n%s", conflict.BaseRevision, conflict.Current.Revision, changes)
}

func (p *program) editor(cmd *cli.Command) (*editor.Editor, error) {
	if cmd.String(flagPlatform) == "" {
		return nil, usageError("--%s or JACKDAWCTL_PLATFORM is needed", flagPlatform)
	}
	address, err := netip.ParseAddrPort(cmd.String(flagPlatform))
	if err != nil {
		return nil, usageError("--%s: %v", flagPlatform, err)
	}
	store := storer.NewClient(address, cmd.Duration(flagTimeout))
	return editor.New(store, cmd.String(flagOperator)), nil
}

// nodeClient returns a client and the addresses of the processes to query.
func (p *program) nodeClient(ctx context.Context, cmd *cli.Command) (*viewer.Client, []netip.AddrPort, error) {
	var addresses []netip.AddrPort
	for _, text := range cmd.StringSlice(flagNode) {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, nil, usageError("--%s: %v", flagNode, err)
		}
		addresses = append(addresses, address)
	}
	if len(addresses) == 0 {
		return nil, nil, usageError("--%s or JACKDAWCTL_NODES is needed", flagNode)
	}
	client := viewer.NewClient(cmd.Duration(flagTimeout))
	if cmd.Bool(flagDiscover) {
		addresses = client.Discover(ctx, addresses)
	}
	return client, addresses, nil
}
