package crrouter

import (
	"go.uber.org/zap"

	"crocusrack/core/crgrant"
	"crocusrack/core/crplace"
)

// logShortage counts and logs that a service becomes saturated or loses its last usable
// endpoint, and logs that this is over.
func (r *Router) logShortage(e crgrant.Shortage) {
	fields := []zap.Field{
		zap.String("service", e.Service),
		zap.Int("endpoints", e.Out.Listed),
		zap.Int("failure-domain-out", e.Out.DomainOut),
		zap.Int("draining", e.Out.Draining),
		zap.Int("ejected", e.Out.Ejected),
		zap.Int("paused", e.Out.Paused),
	}
	saturated := e.Reason == crplace.Busy
	if saturated {
		fields = append(fields, zap.Int("in-flight", e.InFlight), zap.Int("slots", e.Slots))
	}
	switch {
	case e.Over && saturated:
		r.Log.Info("shares: a service is no longer saturated", fields...)
	case e.Over:
		r.Log.Info("shares: a service has a usable endpoint again", fields...)
	case saturated:
		r.Metrics.Saturated.Add(e.Service, 1)
		r.Log.Warn("shares: a service is saturated", fields...)
	default:
		r.Metrics.Unusable.Add(e.Service+" "+e.Out.Cause(), 1)
		r.Log.Warn("shares: a service has no usable endpoint", append(fields, zap.String("cause", e.Out.Cause()))...)
	}
}
