package crrouter

import (
	"go.uber.org/zap"

	"crocusrack/core/crgrant"
)

// logRamp logs and counts that an endpoint that starts or recovers begins or ends its ramp.
func (r *Router) logRamp(e crgrant.RampEvent) {
	if !e.Ended {
		r.Metrics.RampsBegun.Add(1)
		r.Log.Info("ramp: an endpoint gets a growing part of the requests", zap.String("endpoint", e.ID),
			zap.String("service", e.Service), zap.Stringer("cause", e.Cause))
		return
	}
	r.Metrics.RampsEnded.Add(1)
	r.Metrics.RampsHalved.Add(int64(e.Halvings))
	r.Log.Info("ramp: an endpoint gets its full part", zap.String("endpoint", e.ID), zap.String("service", e.Service),
		zap.Stringer("cause", e.Cause), zap.Duration("took-ms", e.Took), zap.Int("halvings", e.Halvings))
}
