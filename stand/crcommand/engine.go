package crcommand

import (
	"context"
	"flag"
	"io"
	"time"

	"crocusrack/schema/crstand"
	"crocusrack/stand/crengine"
)

const (
	engineSummary = "serve a stand-in for a model engine"
	engineExample = "crocusstand engine -listen 127.0.0.1:7201 -model planting-cards -capacity 16"
	enginePort    = 7201
)

func setupEngine(flags *flag.FlagSet) Run {
	e := new(crengine.Engine)
	faults := new(crstand.Faults)
	listen := listenFlag(flags, enginePort)
	flags.StringVar(&e.Name, "name", "engine", "name of the endpoint")
	flags.StringVar(&e.Model, "model", "", "model that is loaded from the start")
	flags.StringVar(&e.Role, "role", "", "role that is reported until an order changes it")
	flags.IntVar(&e.Capacity, "capacity", 16, "requests that run at once")
	flags.IntVar(&e.ColdCapacity, "cold-capacity", 2, "requests that a cold engine bears")
	flags.IntVar(&e.WarmAfter, "warm-after", 0, "answers after which a cold engine is warm; 0 is always warm")
	flags.DurationVar(&e.TokenTime, "token-time", 20*time.Millisecond, "time per token of the answer")
	flags.DurationVar(&e.PrefillTime, "prefill-time", 50*time.Microsecond, "time per prompt token that isn't cached")
	flags.IntVar(&e.CacheTokens, "cache-tokens", 1<<20, "size of the prefix cache in tokens")
	flags.DurationVar(&e.Grace, "grace", crengine.DefaultGrace, "time that a request runs on without a client")
	flags.DurationVar(&e.KeepAnswers, "keep-answers", crengine.DefaultKeepAnswers, "time that an answer is kept")
	flags.DurationVar(&e.ReportLag, "report-lag", time.Second, "age of the reported load")
	flags.DurationVar(&e.EventLag, "event-lag", time.Second, "age of the cache events")
	flags.Uint64Var(&e.EventGap, "event-gap", 0, "drop every nth cache event; 0 drops none")
	flags.DurationVar(&e.LoadTime, "load-time", 5*time.Second, "time that an order to load takes")
	flags.BoolVar(&e.CheckOrders, "check-orders", false, "refuse orders with an old fencing token")
	delay := delayFlag(flags)
	flags.BoolVar(&faults.Leaving, "leaving", false, "fault: refuse all new work")
	flags.BoolVar(&faults.DropCacheEvents, "drop-cache-events", false, "fault: drop all cache events")
	return func(ctx context.Context, out io.Writer) error {
		e.SetFaults(withDelay(faults, *delay))
		return serve(ctx, out, e.Name, *listen, e.Handler())
	}
}
