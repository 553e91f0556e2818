package crprogram

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"crocusrack/core/crsettings"
	"crocusrack/io/crlog"
	"crocusrack/io/crrouter"
)

// Route is the command that forwards HTTP requests. Set the fields before use.
type Route struct {
	// Adapt sets what speaks to the platform: the codec, the feeds of the
	// watcher, and the handlers of ready and directory.
	Adapt func(r *crrouter.Router)

	file  string
	check bool
}

// Name returns the name of the command.
func (*Route) Name() string { return "route" }

// Synopsis returns one line of help.
func (*Route) Synopsis() string { return "forward HTTP requests until SIGTERM" }

// Usage returns the help with an example.
func (*Route) Usage() string {
	return "crocusrackd route -settings FILE [-check]\n  forward HTTP requests until SIGTERM.\n  Example: crocusrackd route -settings examples/router.toml -check\n"
}

// SetFlags defines the command's flags.
func (c *Route) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "settings", "", "settings `file` in TOML")
	f.BoolVar(&c.check, "check", false, "check the settings and exit")
}

// Execute runs the command. The exit status is 0 when all went well, 1 when
// the daemon failed, and 2 when the arguments or the settings are wrong.
func (c *Route) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.file == "" || f.NArg() > 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	settings, err := c.read()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if c.check {
		fmt.Printf("settings of instance %s are sound\n", settings.Instance)
		return subcommands.ExitSuccess
	}
	if err := c.run(ctx, settings); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *Route) read() (crsettings.Router, error) {
	data, err := os.ReadFile(c.file)
	if err != nil {
		return crsettings.Router{}, err
	}
	settings, err := crsettings.ParseRouter(data)
	if err != nil {
		return crsettings.Router{}, fmt.Errorf("%s:\n%w", c.file, err)
	}
	return settings, nil
}

// run serves until the first SIGTERM or interrupt has been carried out.
func (c *Route) run(ctx context.Context, s crsettings.Router) error {
	queue := &crlog.Queue{Out: os.Stdout}
	log, err := queue.Logger(s.LogLevel)
	if err != nil {
		return err
	}
	go queue.Run()
	defer queue.Close()
	r := &crrouter.Router{Settings: s, Log: log, RunNumber: rand.Uint64(), Elapsed: elapsed, LinesDropped: queue.Dropped}
	c.Adapt(r)
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer signal.Stop(signals)
	go c.handle(signals, r, log)
	return r.Run(ctx)
}

func (c *Route) handle(signals <-chan os.Signal, r *crrouter.Router, log *zap.Logger) {
	for s := range signals {
		if s != syscall.SIGHUP {
			r.Stop()
			continue
		}
		settings, err := c.read()
		if err != nil {
			log.Error("daemon: the changed settings can't be used; the earlier ones stay in force", zap.Error(err))
			continue
		}
		r.Reload(settings)
	}
}

// elapsed reads the clock that counts suspension.
func elapsed() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(fmt.Sprintf("crprogram: no clock that counts suspension: %v", err))
	}
	return time.Duration(t.Nano())
}
