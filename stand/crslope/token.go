package crslope

import (
	"time"

	"crocusrack/core/crexecution"
	"crocusrack/schema/crcaller"
)

func tokenMemory(_ *runner, size int) (float64, error) {
	var failed error
	used := heapOf(func() *crexecution.Registry {
		g := &crexecution.Registry{
			Instance: daemonName(0), Run: 1, TokenLifetime: 5 * time.Minute, OutcomeLifetime: 10 * time.Minute, MaxTokens: 2 * size,
		}
		for range size {
			token, err := g.Issue(now, serviceName(0), accountName(0))
			if err != nil {
				failed = err
				return g
			}
			g.Begin(now, token, serviceName(0), accountName(0))
			g.Finish(now, token, crexecution.Outcome{Kind: crcaller.OutcomeKind_OUTCOME_KIND_ANSWERED})
		}
		return g
	})
	return used, failed
}
