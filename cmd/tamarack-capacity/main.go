// Command tamarack-capacity measures the cost of the control plane at several sizes of the fleet, and compares policies
// under rotating bursts. The fleets run as processes on loopback.
package main

import (
	"context"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/tamarackworks/tamarackworks/daemon"
	"github.com/tamarackworks/tamarackworks/internal/capacity"
)

func main() {
	var args capacity.Args
	if parser := arg.MustParse(&args); parser.Subcommand() == nil {
		parser.Fail("missing subcommand")
	}
	daemon.RunTool(func(ctx context.Context) error {
		var err error
		if args.BinDir, err = daemon.BinDir(args.BinDir); err != nil {
			return err
		}
		return capacity.Run(ctx, args, os.Stdout, os.Stderr)
	})
}
