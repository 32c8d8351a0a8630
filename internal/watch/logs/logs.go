// Package logs creates the logger of a process.
package logs

import (
	"fmt"
	"io"

	"github.com/hashicorp/go-hclog"
)

// Options configure a logger.
type Options struct {
	// Name is the name of the logger, written in each line.
	Name string
	// Format is "text" or "json"; empty means text.
	Format string
	// Level is "debug", "info", "warn" or "error"; empty means info.
	Level string
}

// OptionError means that an option has an unknown value.
type OptionError struct {
	// Option is the option's name.
	Option string
	// Value is the unknown value.
	Value string
}

// Error returns the error message for operators.
func (e *OptionError) Error() string {
	return fmt.Sprintf("log %s %q is not known", e.Option, e.Value)
}

// New returns a logger that writes to out.
//
//	logger, err := logs.New(logs.Options{Name: "node-1", Format: "json"}, os.Stderr)
func New(options Options, out io.Writer) (hclog.Logger, error) {
	level := hclog.Info
	if options.Level != "" {
		level = hclog.LevelFromString(options.Level)
	}
	if level == hclog.NoLevel {
		return nil, &OptionError{Option: "level", Value: options.Level}
	}
	switch options.Format {
	case "", "text", "json":
	default:
		return nil, &OptionError{Option: "format", Value: options.Format}
	}
	return hclog.New(&hclog.LoggerOptions{
		Name: options.Name, Level: level, Output: out, JSONFormat: options.Format == "json",
	}), nil
}
