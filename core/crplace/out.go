package crplace

import "time"

// EndpointsOut counts the endpoints of a service that can't be used, by cause.
type EndpointsOut struct {
	Listed, DomainOut, Draining, Ejected, Paused int
}

// Out returns the endpoints of a service that can't be used. Each counts for the first cause
// that applies, in the order of the fields.
func (p *Placer) Out(now time.Time, service string) EndpointsOut {
	var o EndpointsOut
	for _, e := range p.services[service] {
		o.Listed++
		switch {
		case p.DomainOutOfService(e.FailureDomain):
			o.DomainOut++
		case p.draining(e):
			o.Draining++
		case !p.Health.Usable(now, e.Key):
			o.Ejected++
		case !p.Health.PausedUntil(now, e.Key).IsZero():
			o.Paused++
		}
	}
	return o
}

// Cause returns the most frequent cause why the endpoints can't be used, in kebab case.
func (o EndpointsOut) Cause() string {
	cause, most := "none-listed", 0
	for _, c := range []struct {
		name  string
		count int
	}{{"failure-domain-out", o.DomainOut}, {"draining", o.Draining}, {"ejected", o.Ejected}, {"paused", o.Paused}} {
		if c.count > most {
			cause, most = c.name, c.count
		}
	}
	if most == 0 && o.Listed > 0 {
		return "tried"
	}
	return cause
}
