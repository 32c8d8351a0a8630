// Command cicadamill routes language-model traffic with long shared prompts.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
)

// The exit codes of the command line.
const (
	exitOK       = 0
	exitFailure  = 1
	exitUsage    = 2
	exitInvalid  = 3
	exitConflict = 4
	exitUnknown  = 5
)

// args holds a field for each command, whose type is in the command's file.
type args struct {
	Serve    *serveCommand    `arg:"subcommand:serve" help:"run a node"`
	Config   *configCommand   `arg:"subcommand:config" help:"check, submit, show and compare configurations"`
	Status   *statusCommand   `arg:"subcommand:status" help:"print nodes, targets and loads as a node sees them"`
	Measure  *measureCommand  `arg:"subcommand:measure" help:"measure routing decisions in virtual time"`
	Load     *loadCommand     `arg:"subcommand:load" help:"send a seeded load and check the answers"`
	Standin  *standinCommand  `arg:"subcommand:standin" help:"run a stand-in of an engine, the platform or a service"`
	Capacity *capacityCommand `arg:"subcommand:capacity" help:"work out what each role costs a node at the planned size"`
	Gateway  *gatewayCommand  `arg:"subcommand:gateway" help:"run one host on a platform, as its settings file says"`
	Version  *versionCommand  `arg:"subcommand:version" help:"print the version"`
}

// command is implemented by all commands.
type command interface {
	// Run executes the command and prints results to out. An [exitError] in the
	// chain of the error sets the exit code.
	Run(ctx context.Context, out io.Writer) error
}

// exitError is an error with an exit code.
type exitError struct {
	Code int
	Err  error
}

// Error returns the message of the cause.
func (e *exitError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.Err }

// Description returns the first line of the help.
func (args) Description() string {
	return "cicadamill routes language-model traffic with long shared prompts.\n"
}

// Epilogue returns the last part of the help.
func (args) Epilogue() string {
	return `Examples:
  cicadamill serve --embedded
  cicadamill serve --settings node.jsonc
  cicadamill config check configuration.jsonc
  cicadamill config check --platform next.json --against now.json
  cicadamill config show --node 10.0.0.1:8082 > configuration.jsonc
  cicadamill config submit --node 10.0.0.1:8082 --base 7 configuration.jsonc
  cicadamill status --node 10.0.0.1:8082 --json

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 a text has errors, 4 someone
else changed the configuration first, 5 not known whether it took effect.`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes one command line and returns the exit code.
func run(ctx context.Context, line []string, out, errOut io.Writer) int {
	var a args
	parser, err := arg.NewParser(arg.Config{Program: "cicadamill", Out: errOut}, &a)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "cicadamill:", err)
		return exitFailure
	}
	err = parser.Parse(line)
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...)
		return exitOK
	case err != nil:
		return usage(parser, errOut, err)
	}
	selected, ok := parser.Subcommand().(command)
	if !ok {
		return usage(parser, errOut, errors.New("name a command"))
	}
	return report(errOut, selected.Run(ctx, out))
}

func usage(parser *arg.Parser, errOut io.Writer, err error) int {
	_ = parser.WriteUsageForSubcommand(errOut, parser.SubcommandNames()...)
	_, _ = fmt.Fprintln(errOut, "cicadamill:", err)
	return exitUsage
}

// report prints an error and returns its exit code.
func report(errOut io.Writer, err error) int {
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(errOut, "cicadamill:", err)
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.Code
	}
	return exitFailure
}
