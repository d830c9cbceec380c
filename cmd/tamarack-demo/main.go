// Command tamarack-demo runs a small fleet on loopback, kills an entry host and takes hosts out for maintenance under
// load, and prints a table of outcomes.
package main

import (
	"context"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/tamarackworks/tamarackworks/daemon"
	"github.com/tamarackworks/tamarackworks/internal/demo"
)

func main() {
	var args demo.Args
	arg.MustParse(&args)
	daemon.RunTool(func(ctx context.Context) error {
		var err error
		if args.BinDir, err = daemon.BinDir(args.BinDir); err != nil {
			return err
		}
		return demo.Run(ctx, args, os.Stdout)
	})
}
