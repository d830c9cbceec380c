// Command tamarack is the command-line client of the operator API.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/tamarackworks/tamarackworks/operator/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := cli.Run(ctx, os.Args[1:], cli.Options{})
	stop()
	os.Exit(code)
}
