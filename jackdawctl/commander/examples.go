package commander

import (
	"context"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"jackdawcart.org/jackdawctl/generator"
)

func (p *program) examplesCommand() *cli.Command {
	return &cli.Command{
		Name: "examples", Usage: "write the example settings and documents", ArgsUsage: "DIRECTORY", Hidden: true,
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 1 {
				return usageError("name the directory")
			}
			return merry.Prepend(generator.Write(cmd.Args().First()), "examples")
		},
	}
}
