// Package crcommand holds the commands of crocusstand. Each is one entry of a
// sorted table; the program registers them all.
package crcommand

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"
)

// Command is one subcommand: its documentation, its flags and what it does.
type Command struct {
	// Summary is one line without a final period.
	Summary string
	// Example is a whole command line.
	Example string
	// Setup declares the flags and returns the function that runs the command
	// once they are parsed.
	Setup func(flags *flag.FlagSet) Run

	name string
	run  Run
}

// Run does the work of a command until it is done or ctx ends. It writes what
// users read to out.
type Run func(ctx context.Context, out io.Writer) error

// Commands returns the table of commands, sorted by name.
func Commands() []*Command {
	return []*Command{
		{name: "counters", Summary: countersSummary, Example: countersExample, Setup: setupCounters},
		{name: "demo", Summary: demoSummary, Example: demoExample, Setup: setupDemo},
		{name: "engine", Summary: engineSummary, Example: engineExample, Setup: setupEngine},
		{name: "faults", Summary: faultsSummary, Example: faultsExample, Setup: setupFaults},
		{name: "measure", Summary: measureSummary, Example: measureExample, Setup: setupMeasure},
		{name: "platform", Summary: platformSummary, Example: platformExample, Setup: setupPlatform},
		{name: "service", Summary: serviceSummary, Example: serviceExample, Setup: setupService},
		{name: "slopes", Summary: slopesSummary, Example: slopesExample, Setup: setupSlopes},
		{name: "soak", Summary: soakSummary, Example: soakExample, Setup: setupSoak},
	}
}

// Name implements subcommands.Command.
func (c *Command) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *Command) Synopsis() string { return c.Summary }

// Usage implements subcommands.Command.
func (c *Command) Usage() string {
	return fmt.Sprintf("%s: %s.\n\nExample:\n  %s\n\nFlags:\n", c.name, c.Summary, c.Example)
}

// SetFlags implements subcommands.Command.
func (c *Command) SetFlags(flags *flag.FlagSet) { c.run = c.Setup(flags) }

// Execute implements subcommands.Command. It exits with 1 when the command
// fails and with 2 when its arguments are wrong.
func (c *Command) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "%s: unexpected argument %q\n", c.name, flags.Arg(0))
		return subcommands.ExitUsageError
	}
	if err := c.run(ctx, os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", c.name, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
