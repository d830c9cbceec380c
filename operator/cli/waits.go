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
	logs, closeLogs, err := c.openLogs(cmd.Files)
	defer closeLogs()
	if err != nil {
		return inputError{err}
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

// openLogs opens files for reading; the name - is standard input. closeLogs closes those that were opened, also after an error.
func (c *command) openLogs(names []string) (logs []io.Reader, closeLogs func(), err error) {
	var files []*os.File
	closeLogs = func() {
		for _, file := range files {
			file.Close()
		}
	}
	for _, name := range names {
		if name == "-" {
			logs = append(logs, c.Stdin)
			continue
		}
		file, err := os.Open(name)
		if err != nil {
			return nil, closeLogs, err
		}
		files, logs = append(files, file), append(logs, file)
	}
	return logs, closeLogs, nil
}
