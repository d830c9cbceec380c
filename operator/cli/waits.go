package cli

import (
	"io"
	"os"
	"time"

	"github.com/tamarackworks/tamarackworks/operator/waits"
)

type waitsCmd struct {
	Window time.Duration `arg:"--window" default:"2s" help:"length of a window"`
	Files  []string      `arg:"positional,required" placeholder:"FILE" help:"logs of the processes in any order, - for standard input"`
}

// waits prints the report that package waits makes from logs. It needs no server.
func (c *command) waits(cmd *waitsCmd) error {
	var logs []io.Reader
	for _, name := range cmd.Files {
		if name == "-" {
			logs = append(logs, c.Stdin)
			continue
		}
		file, err := os.Open(name)
		if err != nil {
			return inputError{err}
		}
		defer file.Close()
		logs = append(logs, file)
	}
	report, err := waits.Read(waits.Options{Window: cmd.Window}, logs...)
	if err != nil {
		return inputError{err}
	}
	if c.args.Output == "json" {
		return report.WriteJSON(c.Stdout)
	}
	return report.WriteTable(c.Stdout)
}
