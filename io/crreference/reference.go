// Package crreference writes the reference pages from the tables of settings,
// metrics and commands.
package crreference

import (
	"flag"
	"fmt"
	"strings"

	"crocusrack/core/crsettings"
	"crocusrack/core/crswitch"
	"crocusrack/io/crctl"
	"crocusrack/io/crmetric"
)

//go:generate go test . -run TestPages -update

// Page is one generated page.
type Page struct {
	// File is the path below docs.
	File string
	Text string
}

// Pages returns all generated pages.
func Pages() []Page {
	return []Page{
		{File: "COMMANDS.md", Text: commands()},
		{File: "reference.md", Text: settings() + metrics()},
	}
}

const generated = "This page is generated: change the tables in the code, then run `go generate ./io/crreference`.\n"

func settings() string {
	var b strings.Builder
	b.WriteString("# Settings and metrics\n\n" + generated)
	b.WriteString("\n## Settings of a daemon\n\n")
	b.WriteString("Written in TOML. A dot in a key stands for a table: `caller.address` is `address` in `[caller]`.\n")
	b.WriteString("Durations are written as `\"1m30s\"`. Unknown keys are refused, and all problems of a file are reported at once.\n\n")
	keys(&b, crsettings.Keys())
	b.WriteString("\n## Settings of `crocusrackd route`\n\n")
	keys(&b, crsettings.RouterKeys())
	b.WriteString("\n## Mechanisms that can be switched off\n\n")
	b.WriteString("Named in `disabled-mechanisms`, for the day when one misbehaves and for measurements.\n\n")
	b.WriteString("| mechanism | meaning |\n|---|---|\n")
	for _, m := range crswitch.Mechanisms() {
		row(&b, code(string(m.Name)), m.Doc)
	}
	return b.String()
}

func keys(b *strings.Builder, table []crsettings.Key) {
	b.WriteString("| key | type | default | range | unit | meaning |\n|---|---|---|---|---|---|\n")
	for _, k := range table {
		row(b, code(k.Path), string(k.Type), defaultOf(k), rangeOf(k), k.Unit, k.Doc)
	}
}

func defaultOf(k crsettings.Key) string {
	if k.Required {
		return "required"
	}
	return code(k.Default)
}

func rangeOf(k crsettings.Key) string {
	if len(k.Values) > 0 {
		return strings.Join(k.Values, ", ")
	}
	if k.Min == "" {
		return ""
	}
	return k.Min + " to " + k.Max
}

func metrics() string {
	var b strings.Builder
	b.WriteString("\n## Metrics of a daemon\n\n")
	b.WriteString("One JSON object. A metric with a label is an object of values by label. Counters only grow while the daemon runs.\n\n")
	b.WriteString("| metric | by | kind | unit | meaning |\n|---|---|---|---|---|\n")
	for _, m := range crmetric.Table() {
		kind := "gauge"
		if m.Counter {
			kind = "counter"
		}
		row(&b, code(m.Name), m.Label, kind, m.Unit, m.Doc)
	}
	return b.String()
}

func commands() string {
	var b strings.Builder
	b.WriteString("# crocusctl\n\n" + generated)
	b.WriteString("\n    crocusctl [flags] COMMAND [command flags] [arguments]\n")
	b.WriteString("\nTLS is used unless `-plain-text` is given. The flags before the command:\n\n")
	flags(&b, crctl.Flags())
	b.WriteString("\n## Exit statuses\n\n| status | meaning |\n|---|---|\n")
	for _, s := range crctl.Statuses() {
		row(&b, fmt.Sprint(int(s.Status)), s.Doc)
	}
	for _, c := range crctl.Table() {
		usage := strings.TrimRight("crocusctl [flags] "+c.Name+" [command flags] "+c.Arguments, " ")
		fmt.Fprintf(&b, "\n## %s\n\n    %s\n\n%s\n\n", c.Name, usage, c.Doc)
		flags(&b, c.Flags())
		fmt.Fprintf(&b, "\nExample:\n\n    %s\n", c.Example)
	}
	return b.String()
}

// flags writes a table of flags, or nothing when there are none.
func flags(b *strings.Builder, set *flag.FlagSet) {
	first := true
	set.VisitAll(func(f *flag.Flag) {
		if first {
			b.WriteString("| flag | default | meaning |\n|---|---|---|\n")
			first = false
		}
		value, usage := flag.UnquoteUsage(f)
		row(b, code(strings.TrimRight("-"+f.Name+" "+value, " ")), code(f.DefValue), usage)
	})
}

func row(b *strings.Builder, cells ...string) {
	for i, cell := range cells {
		cells[i] = strings.ReplaceAll(cell, "|", "\\|")
	}
	fmt.Fprintf(b, "| %s |\n", strings.Join(cells, " | "))
}

func code(text string) string {
	if text == "" {
		return ""
	}
	return "`" + text + "`"
}
