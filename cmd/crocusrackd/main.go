// Crocusrackd is the daemon that every instance runs.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"crocusrack/io/crprogram"
	crplatform "crocusrack/platform"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, c := range crprogram.Commands() {
		subcommands.Register(c, "")
	}
	subcommands.Register(&crprogram.Route{Adapt: crplatform.Adapt}, "")
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
