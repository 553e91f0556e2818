package crctl

import (
	"context"
	"flag"
)

// Command describes one command.
type Command struct {
	Name string
	// Synopsis is one line.
	Synopsis string
	// Arguments names what stands behind the flags.
	Arguments string
	Doc       string
	// Example is a whole command line.
	Example string

	minArgs, maxArgs int
	// setup declares the flags and returns what to do once they are parsed.
	setup func(p *Program, f *flag.FlagSet) action
}

// action does the work of a command.
type action func(ctx context.Context, args []string) error

// Flags returns the command's own flags.
func (c Command) Flags() *flag.FlagSet {
	f := flag.NewFlagSet(c.Name, flag.ContinueOnError)
	c.setup(&Program{}, f)
	return f
}

// Flags returns the flags that stand before the command.
func Flags() *flag.FlagSet { return new(Program).flags() }

// Table returns the commands, sorted by name.
func Table() []Command {
	return []Command{
		{Name: "address", Synopsis: "ask which instances to use", Arguments: "SERVICE", minArgs: 1, maxArgs: 1, setup: setupAddress,
			Doc:     "Asks the instance at -caller which instances to use for a chat, best first.",
			Example: "crocusctl -plain-text address -client-account order-desk -chat-key chat-17 taalpers"},
		{Name: "apply", Synopsis: "make a catalogue file current", Arguments: "FILE", minArgs: 1, maxArgs: 1, setup: setupApply,
			Doc: "Sends the whole catalogue. The change is refused when the base version is no longer current;" +
				" the differences are shown then. The base version is taken from the first line that get has written, or from -base.",
			Example: "crocusctl -plain-text apply -wait -note 'two more engines' catalogue.toml"},
		{Name: "call", Synopsis: "call a plain service", Arguments: "SERVICE METHOD [BODY]", minArgs: 2, maxArgs: 3, setup: setupCall,
			Doc: "Sends one request and writes the answer's body. The body is read from standard input when it is -." +
				" A request that must not be repeated gets an execution token first and runs at most once.",
			Example: "crocusctl -plain-text call -client-account pressing-line-1 -not-repeatable persbalie release-batch 'batch 12'"},
		{Name: "cancel", Synopsis: "stop a request that runs", Arguments: "SERVICE REQUEST-ID", minArgs: 2, maxArgs: 2, setup: setupCancel,
			Doc:     "Stops a running request. Exits with 1 when none with this id is found.",
			Example: "crocusctl -plain-text cancel -chat-key chat-17 taalpers KZ4QXT7VYB2L"},
		{Name: "chat", Synopsis: "send one turn of a chat", Arguments: "SERVICE PROMPT", minArgs: 2, maxArgs: 2, setup: setupChat,
			Doc: "Writes the tokens of the answer as they come. When the connection breaks, another instance is asked" +
				" for the rest. The prompt is read from standard input when it is -.",
			Example: "crocusctl -plain-text chat -client-account order-desk -chat-key chat-17 taalpers 'Card text for poppies'"},
		{Name: "check", Synopsis: "check a catalogue file", Arguments: "FILE", minArgs: 1, maxArgs: 1, setup: setupCheck,
			Doc:     "Names all problems of the file, without asking an instance.",
			Example: "crocusctl check examples/kiemblad/catalogue.toml"},
		{Name: "diff", Synopsis: "compare a file with the current catalogue", Arguments: "FILE", minArgs: 1, maxArgs: 1, setup: setupDiff,
			Doc:     "Shows the records that differ: - is current, + is in the file. Exits with 0 when none does, and with 1 otherwise.",
			Example: "crocusctl -plain-text diff catalogue.toml"},
		{Name: "dump", Synopsis: "write the state of one instance", minArgs: 0, maxArgs: 0, setup: setupDump,
			Doc:     "Writes the state of the process at -operator as JSON.",
			Example: "crocusctl -plain-text -operator 127.0.0.1:20302 dump"},
		{Name: "explain", Synopsis: "tell from logs why callers were served late", Arguments: "LOG", minArgs: 1, maxArgs: 1, setup: setupExplain,
			Doc: "Reads the log lines of daemons that run crocusrackd route, of one or of many, from a file or from standard input (-)." +
				" For each route it counts the requests that had no answer, by how they ended, and those whose first token came late," +
				" by the part of the path that took most of the time.",
			Example: "crocusctl explain router.log"},
		{Name: "get", Synopsis: "write the current catalogue as a file", minArgs: 0, maxArgs: 0, setup: setupGet,
			Doc:     "Writes the catalogue in force at the instance, with its version in the first line.",
			Example: "crocusctl -plain-text get >catalogue.toml"},
		{Name: "history", Synopsis: "list the last changes", minArgs: 0, maxArgs: 0, setup: setupHistory,
			Doc:     "Lists changes of the catalogue, newest first: version, time, author, note and the keys of the changed records.",
			Example: "crocusctl -plain-text history -limit 5"},
		{Name: "in", Synopsis: "take back into service", minArgs: 0, maxArgs: 0, setup: setupIn,
			Doc:     "Takes failure domains, instances or endpoints back into service.",
			Example: "crocusctl -plain-text in -wait -failure-domain noord-a"},
		{Name: "metrics", Synopsis: "show the metrics of one instance", minArgs: 0, maxArgs: 0, setup: setupMetrics,
			Doc:     "Shows the metrics of the instance at -operator with their units.",
			Example: "crocusctl -plain-text -operator 127.0.0.1:20302 metrics"},
		{Name: "out", Synopsis: "take out of service", minArgs: 0, maxArgs: 0, setup: setupOut,
			Doc:     "Takes failure domains, instances or endpoints out of service. They get no new work; work in flight ends by itself.",
			Example: "crocusctl -plain-text out -wait -failure-domain noord-a -endpoint taalpers-9,taalpers-10"},
		{Name: "outcome", Synopsis: "ask how an earlier call ended", Arguments: "EXECUTION-TOKEN", minArgs: 1, maxArgs: 1, setup: setupOutcome,
			Doc: "Asks how a request with an execution token ended, writes the body of its answer while that is kept," +
				" and exits as call would have. Exits with 4 while the request runs.",
			Example: "crocusctl -plain-text outcome x1-noord-a-1-561f88c667eb70d9-2-467447-4d2369702b324ab6-9a590fb04b5b3cfac73080214d3c8f02"},
		{Name: "status", Synopsis: "show the fleet", minArgs: 0, maxArgs: 0, setup: setupStatus,
			Doc:     "Shows what the instance at -operator has heard of the instances and services.",
			Example: "crocusctl -plain-text status"},
	}
}
