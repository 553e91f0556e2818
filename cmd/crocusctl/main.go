// Crocusctl is the operators' client of crocusrack.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"crocusrack/io/crctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	program := &crctl.Program{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Author: crctl.User()}
	status := program.Run(ctx, os.Args[1:])
	stop()
	os.Exit(int(status))
}
