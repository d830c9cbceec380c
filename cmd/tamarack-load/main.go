// Command tamarack-load generates demand, sends it to entry hosts, replays recorded demand, and prints the outcomes
// of the requests.
package main

import (
	"context"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/tamarackworks/tamarackworks/daemon"
	"github.com/tamarackworks/tamarackworks/loadgen"
)

func main() {
	var args loadgen.Args
	parser := arg.MustParse(&args)
	if parser.Subcommand() == nil {
		parser.Fail("missing subcommand")
	}
	daemon.RunTool(func(ctx context.Context) error { return loadgen.Command(ctx, args, os.Stdout, os.Stderr) })
}
