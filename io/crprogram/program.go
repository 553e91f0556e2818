// Package crprogram holds the commands of crocusrackd.
package crprogram

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"go.uber.org/zap"

	"crocusrack/core/crsettings"
	"crocusrack/io/crdaemon"
)

// exitSettings is the exit status when the settings are wrong.
const exitSettings = subcommands.ExitUsageError

// Commands returns the commands of the daemon, sorted by name.
func Commands() []subcommands.Command {
	return []subcommands.Command{
		&command{name: "check", synopsis: "check a settings file and exit", do: check},
		&command{name: "run", synopsis: "run the daemon until SIGTERM", do: run},
	}
}

// command reads a settings file and does something with it.
type command struct {
	name     string
	synopsis string
	do       func(ctx context.Context, s crsettings.Settings) error
	file     string
}

// Name returns the name of the command.
func (c *command) Name() string { return c.name }

// Synopsis returns one line of help.
func (c *command) Synopsis() string { return c.synopsis }

// Usage returns the help with an example.
func (c *command) Usage() string {
	return fmt.Sprintf("crocusrackd %s -settings FILE\n  %s.\n  Example: crocusrackd %s -settings examples/kiemblad/noord-a-1.toml\n", c.name, c.synopsis, c.name)
}

// SetFlags defines the command's flags.
func (c *command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", "", "settings `file` in TOML")
}

// Execute runs the command. The exit status is 0 when all went well, 1 when
// the daemon failed, and 2 when the arguments or the settings are wrong.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.file == "" || f.NArg() > 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	data, err := os.ReadFile(c.file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	settings, err := crsettings.Parse(data)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s:\n%v\n", c.file, err)
		return exitSettings
	}
	if err := c.do(ctx, settings); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func check(_ context.Context, s crsettings.Settings) error {
	fmt.Printf("settings of instance %s are sound\n", s.Instance)
	return nil
}

// run serves until the first SIGTERM or interrupt has drained the daemon, or
// the second has stopped it.
func run(ctx context.Context, s crsettings.Settings) error {
	log, err := logger(s.LogLevel)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := &crdaemon.Daemon{Settings: s, Log: log, RunNumber: rand.Uint64()}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	go func() {
		<-signals
		d.Drain()
		<-signals
		cancel()
	}()
	return d.Run(ctx)
}

func logger(level string) (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	parsed, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log-level: %w", err)
	}
	config.Level = parsed
	config.Sampling = nil
	return config.Build()
}
