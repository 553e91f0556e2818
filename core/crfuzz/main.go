// Package crfuzz supports property tests. It sets a fixed seed, so that CI gets the
// same result on every run, and provides a store that injects faults and a simulated
// clock.
package crfuzz

import (
	"flag"
	"os"
	"strconv"
	"strings"
	"testing"

	_ "pgregory.net/rapid" // registers the flags that Main sets
)

const (
	// Seed is the seed of property tests if none is given by flag or environment.
	Seed = "20261204"

	seedFlag   = "rapid.seed"
	checksFlag = "rapid.checks"
	stepsFlag  = "rapid.steps"
)

// Main runs the tests of a package with Seed as the seed. Call it from TestMain:
//
//	func TestMain(m *testing.M) { crfuzz.Main(m) }
//
// A seed given by flag or environment takes precedence. The flag -rapid.seed=0
// selects a random seed.
func Main(m *testing.M) {
	flag.Parse()
	setDefault(flag.CommandLine, seedFlag, Seed)
	m.Run()
}

// MainWith is like Main but also sets the number of checks of each property test and
// the number of steps of each check, for packages that need more than rapid's
// defaults. Numbers given by flag or environment take precedence.
func MainWith(m *testing.M, checks, steps int) {
	flag.Parse()
	setDefault(flag.CommandLine, checksFlag, strconv.Itoa(checks))
	setDefault(flag.CommandLine, stepsFlag, strconv.Itoa(steps))
	Main(m)
}

// setDefault sets a flag to value unless the command line or the environment has set
// it. It need not apply the environment variable, because rapid uses that as the
// default of the flag.
func setDefault(flags *flag.FlagSet, name, value string) {
	given := os.Getenv(environment(name)) != ""
	flags.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	if given {
		return
	}
	if err := flags.Lookup(name).Value.Set(value); err != nil {
		panic(err) // can't happen: the values are numbers
	}
}

// environment returns the name of the environment variable from which rapid reads the
// default of a flag.
func environment(name string) string {
	return strings.ToUpper(strings.ReplaceAll(name, ".", "_"))
}
