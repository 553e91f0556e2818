package crcommand

import (
	"context"
	"flag"
	"io"

	"crocusrack/schema/crstand"
	"crocusrack/stand/crservice"
)

const (
	serviceSummary = "serve a stand-in for a plain service"
	serviceExample = "crocusstand service -listen 127.0.0.1:7301 -work-time 50ms -lose-answers"
	servicePort    = 7301
)

func setupService(flags *flag.FlagSet) Run {
	s := new(crservice.Service)
	faults := new(crstand.Faults)
	listen := listenFlag(flags, servicePort)
	flags.StringVar(&s.Name, "name", "service", "name of the endpoint")
	flags.IntVar(&s.Capacity, "capacity", 16, "reported capacity in requests")
	flags.DurationVar(&s.WorkTime, "work-time", 0, "time that a call takes")
	flags.DurationVar(&s.ReportLag, "report-lag", 0, "age of the reported load")
	delay := delayFlag(flags)
	flags.BoolVar(&faults.Leaving, "leaving", false, "fault: refuse all new work")
	flags.BoolVar(&faults.LoseAnswers, "lose-answers", false, "fault: run calls and lose their answers")
	return func(ctx context.Context, out io.Writer) error {
		s.SetFaults(withDelay(faults, *delay))
		return serve(ctx, out, s.Name, *listen, s.Handler())
	}
}
