package cli

import "github.com/tamarackworks/tamarackworks/operator/interference"

type interferenceCmd struct {
	Files []string `arg:"positional,required" placeholder:"FILE" help:"logs of the processes in any order, - for standard input"`
}

// interference prints the report that package interference makes from logs. It needs no server.
func (c *command) interference(cmd *interferenceCmd) error {
	logs, closeLogs, err := c.openLogs(cmd.Files)
	defer closeLogs()
	if err != nil {
		return inputError{err}
	}
	report, err := interference.Read(logs...)
	if err != nil {
		return inputError{err}
	}
	if c.args.Output == "json" {
		return report.WriteJSON(c.Stdout)
	}
	return report.WriteTable(c.Stdout)
}
