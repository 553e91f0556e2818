// Crocustest runs all tests of this module and gives the verdict that CI gives: it fails for a
// test that fails and isn't listed in KNOWN-RED.txt, and for a listed one that passes. Run it
// in the root of a checkout. Arguments are passed to go test.
package main

import (
	"context"
	"fmt"
	"os"

	"crocusrack/stand/crverdict"
)

func main() {
	r := crverdict.Runner{
		List:      "KNOWN-RED.txt",
		Apart:     []string{"crocusrack/platform/crowd"},
		Arguments: os.Args[1:],
		Out:       os.Stdout,
		Err:       os.Stderr,
	}
	if err := r.Run(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
