// Package crctl is the program crocusctl: the operators' client, and a caller's
// for trying a service. Table lists its commands.
package crctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/google/subcommands"
)

// Program is one run of crocusctl. The fields are set before Run.
type Program struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	// Author names the operator in the history unless a flag does.
	Author string
	// Jitter replaces the random waits between the attempts of a request.
	Jitter func(bound time.Duration) time.Duration

	connection connection
	author     string
	timeout    time.Duration
}

const (
	defaultOperator = "127.0.0.1:20301"
	defaultCaller   = "127.0.0.1:20101"
	defaultTimeout  = 10 * time.Second
)

// User returns $USER, or the name of the system's user where it isn't set, as in
// a bare service environment. It is empty when the system knows none.
func User() string {
	if name := os.Getenv("USER"); name != "" {
		return name
	}
	current, err := user.Current()
	if err != nil {
		return ""
	}
	return current.Username
}

// Run runs one command line, without the program's name.
func (p *Program) Run(ctx context.Context, args []string) Status {
	flags := p.flags()
	commander := subcommands.NewCommander(flags, "crocusctl")
	commander.Output, commander.Error = p.Stdout, p.Stderr
	commander.Register(commander.HelpCommand(), "help")
	commander.Register(commander.FlagsCommand(), "help")
	for _, name := range []string{"caller", "operator", "plain-text"} {
		commander.ImportantFlag(name)
	}
	for _, c := range Table() {
		commander.Register(&adapter{command: c, program: p}, "")
	}
	if err := flags.Parse(args); err != nil {
		return Usage
	}
	return Status(commander.Execute(ctx))
}

// flags returns the flags that stand before the command.
func (p *Program) flags() *flag.FlagSet {
	flags := flag.NewFlagSet("crocusctl", flag.ContinueOnError)
	flags.SetOutput(p.Stderr)
	flags.StringVar(&p.connection.operator, "operator", defaultOperator, "`address` of an instance's operator listener")
	flags.StringVar(&p.connection.caller, "caller", defaultCaller, "`address` of an instance's caller listener")
	flags.BoolVar(&p.connection.plainText, "plain-text", false, "connect without TLS")
	flags.StringVar(&p.connection.files.ClientAuthorities, "authorities", "", "PEM `file` of authorities that instances are checked against; the system's when empty")
	flags.StringVar(&p.connection.files.Certificate, "certificate", "", "PEM `file` of the certificate to show")
	flags.StringVar(&p.connection.files.Key, "key", "", "PEM `file` of the private key")
	flags.StringVar(&p.author, "author", p.Author, "`name` kept in the history; by default $USER, or the name of the system's user")
	flags.DurationVar(&p.timeout, "timeout", defaultTimeout, "timeout of one call to an operator listener")
	return flags
}

// adapter fits a row of the table to the subcommands library.
type adapter struct {
	command Command
	program *Program
	run     action
}

func (a *adapter) Name() string     { return a.command.Name }
func (a *adapter) Synopsis() string { return a.command.Synopsis }

func (a *adapter) Usage() string {
	c := a.command
	usage := strings.TrimRight("crocusctl [flags] "+c.Name+" [command flags] "+c.Arguments, " ")
	return fmt.Sprintf("%s\n\n%s\n\nExample:\n  %s\n\nCommand flags:\n", usage, c.Doc, c.Example)
}

func (a *adapter) SetFlags(f *flag.FlagSet) {
	// The help command has set an output of its own.
	if f.Output() == io.Writer(os.Stderr) {
		f.SetOutput(a.program.Stderr)
	}
	a.run = a.command.setup(a.program, f)
}

func (a *adapter) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if n := f.NArg(); n < a.command.minArgs || n > a.command.maxArgs {
		fmt.Fprintf(a.program.Stderr, "crocusctl %s: wrong number of arguments: %d\n", a.command.Name, n)
		f.Usage()
		return subcommands.ExitStatus(Usage)
	}
	err := a.run(ctx, f.Args())
	if err != nil {
		fmt.Fprintf(a.program.Stderr, "crocusctl %s: %v\n", a.command.Name, err)
	}
	return subcommands.ExitStatus(statusOf(err))
}
