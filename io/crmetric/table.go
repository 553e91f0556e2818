package crmetric

import "expvar"

// Metric describes one metric.
type Metric struct {
	Name string
	// Label tells what the values are split by; empty when there is one value.
	Label string
	Unit  string
	// Counter is true when the metric only grows while the daemon runs.
	Counter bool
	Doc     string
	// Var returns the metric of a set.
	Var func(s *Set) expvar.Var
}

// Table returns every metric, sorted by name.
func Table() []Metric { return table }

var table = []Metric{
	{Name: "address-answers", Unit: "answers", Counter: true,
		Doc: "Answers to callers that asked which address to use.",
		Var: func(s *Set) expvar.Var { return &s.AddressAnswers }},
	{Name: "cached-tokens", Unit: "tokens", Counter: true,
		Doc: "Prompt tokens that engines found in their cache. Divide by prompt-tokens for cache reuse.",
		Var: func(s *Set) expvar.Var { return &s.CachedTokens }},
	{Name: "catalogue-age", Unit: "seconds",
		Doc: "Time since this instance last heard that its catalogue version is current.",
		Var: func(s *Set) expvar.Var { return s.CatalogueAge }},
	{Name: "catalogue-version", Unit: "version",
		Doc: "Version of the catalogue in force here; 0 when there is none.",
		Var: func(s *Set) expvar.Var { return s.CatalogueVersion }},
	{Name: "control-bytes-received", Label: "kind", Unit: "bytes", Counter: true,
		Doc: "Control traffic received.",
		Var: func(s *Set) expvar.Var { return &s.ControlBytesReceived }},
	{Name: "control-bytes-sent", Label: "kind", Unit: "bytes", Counter: true,
		Doc: "Control traffic sent.",
		Var: func(s *Set) expvar.Var { return &s.ControlBytesSent }},
	{Name: "cross-domain-bytes", Unit: "bytes", Counter: true,
		Doc: "Bytes of requests and answers that this instance sent to and got from instances and endpoints of another failure domain.",
		Var: func(s *Set) expvar.Var { return &s.CrossDomainBytes }},
	{Name: "draining", Unit: "0 or 1",
		Doc: "Whether this instance is leaving.",
		Var: func(s *Set) expvar.Var { return s.Draining }},
	{Name: "endpoint-bound", Label: "endpoint", Unit: "requests",
		Doc: "Highest load that the mean load allows now, of endpoints owned here.",
		Var: func(s *Set) expvar.Var { return s.EndpointBound }},
	{Name: "endpoint-limit", Label: "endpoint", Unit: "requests",
		Doc: "Concurrency limit of endpoints owned here; low in cold start.",
		Var: func(s *Set) expvar.Var { return s.EndpointLimit }},
	{Name: "endpoint-load", Label: "endpoint", Unit: "requests",
		Doc: "Requests in flight at endpoints owned here.",
		Var: func(s *Set) expvar.Var { return s.EndpointLoad }},
	{Name: "late-answers", Unit: "messages", Counter: true,
		Doc: "Messages and answers of another attempt or request that were dropped.",
		Var: func(s *Set) expvar.Var { return &s.LateAnswers }},
	{Name: "leases-held", Unit: "leases",
		Doc: "Services whose endpoints get their orders from this instance.",
		Var: func(s *Set) expvar.Var { return s.LeasesHeld }},
	{Name: "members", Label: "state", Unit: "instances",
		Doc: "Instances that this one knows.",
		Var: func(s *Set) expvar.Var { return s.Members }},
	{Name: "orders", Label: "result", Unit: "orders", Counter: true,
		Doc: "Orders sent to endpoints, by the endpoint's answer, or no-answer.",
		Var: func(s *Set) expvar.Var { return &s.Orders }},
	{Name: "prompt-tokens", Unit: "tokens", Counter: true,
		Doc: "Prompt tokens of ended chats, as engines counted them.",
		Var: func(s *Set) expvar.Var { return &s.PromptTokens }},
	{Name: "queue-length", Label: "service", Unit: "requests",
		Doc: "Requests waiting at this instance for an endpoint.",
		Var: func(s *Set) expvar.Var { return s.QueueLength }},
	{Name: "refusals", Label: "reason", Unit: "requests", Counter: true,
		Doc: "Requests that ended with a reason: not run, or of unknown outcome.",
		Var: func(s *Set) expvar.Var { return &s.Refusals }},
	{Name: "requests", Label: "outcome", Unit: "requests", Counter: true,
		Doc: "Requests of callers that ended here.",
		Var: func(s *Set) expvar.Var { return &s.Requests }},
	{Name: "requests-in-flight", Unit: "requests",
		Doc: "Requests of callers that run here now.",
		Var: func(s *Set) expvar.Var { return s.RequestsInFlight }},
	{Name: "retries", Unit: "attempts", Counter: true,
		Doc: "Sendings of a request to an owner after the first one.",
		Var: func(s *Set) expvar.Var { return &s.Retries }},
	{Name: "store-calls", Label: "kind", Unit: "calls", Counter: true,
		Doc: "Calls to the platform's store, retries included: read, write, and watch for each that opens.",
		Var: func(s *Set) expvar.Var { return &s.StoreCalls }},
	{Name: "store-failures", Label: "kind", Unit: "calls", Counter: true,
		Doc: "Calls to the platform's store that failed or timed out.",
		Var: func(s *Set) expvar.Var { return &s.StoreFailures }},
}
