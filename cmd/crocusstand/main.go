// Crocusstand serves stand-ins for the systems around crocusrack.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"crocusrack/stand/crcommand"

	"github.com/google/subcommands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, c := range crcommand.Commands() {
		subcommands.Register(c, "")
	}
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := subcommands.Execute(ctx)
	stop()
	os.Exit(int(status))
}
