package cli

import (
	"fmt"

	"github.com/tamarackworks/tamarackworks/operator/configcheck"
)

type checkCmd struct {
	Against string `arg:"--against" placeholder:"CONFIG" help:"the configuration in effect, to compare with; - for standard input"`
	Config  string `arg:"positional,required" placeholder:"CONFIG" help:"configuration in JSON, the value of the row op/config; - for standard input"`
}

// findingsError means that a configuration has findings. It leads to ExitFindings or ExitWarnings.
type findingsError struct {
	config           string
	errors, warnings int
}

func (e findingsError) Error() string {
	return fmt.Sprintf("%s: %d errors, %d warnings", e.config, e.errors, e.warnings)
}

func (e findingsError) exitCode() int {
	if e.errors > 0 {
		return ExitFindings
	}
	return ExitWarnings
}

// check prints what package configcheck finds in a configuration. It needs no server.
func (c *command) check(cmd *checkCmd) error {
	if cmd.Config == "-" && cmd.Against == "-" {
		return inputErrorf("only one configuration can be read from standard input")
	}
	config, err := c.readFile(cmd.Config)
	if err != nil {
		return inputError{err}
	}
	var inEffect []byte
	if cmd.Against != "" {
		if inEffect, err = c.readFile(cmd.Against); err != nil {
			return inputError{err}
		}
		// An empty file must not count as no configuration.
		inEffect = append([]byte{}, inEffect...)
	}
	report, err := configcheck.Check(config, inEffect)
	if err != nil {
		return inputError{err}
	}
	write := report.WriteText
	if c.args.Output == "json" {
		write = report.WriteJSON
	}
	if err := write(c.Stdout); err != nil {
		// ExitRejected would say that the configuration has errors.
		return inputError{err}
	}
	result := findingsError{cmd.Config, report.Count(configcheck.SeverityError), report.Count(configcheck.SeverityWarning)}
	if result.errors+result.warnings > 0 {
		return result
	}
	return nil
}
