// Package crswitch names the mechanisms that operators can switch off, one by one:
// on a day when one of them misbehaves, or to measure what it is worth. A fleet
// serves without any of them, only less well; what keeps a promise to callers has
// no switch.
package crswitch

// Mechanism is the name of a mechanism, in kebab case.
type Mechanism string

// The mechanisms.
const (
	ContextMoves     Mechanism = "context-moves"
	DomainPreference Mechanism = "domain-preference"
	EventCoalescing  Mechanism = "event-coalescing"
	FailureRates     Mechanism = "failure-rates"
	LearnedPace      Mechanism = "learned-pace"
	ReadingWaits     Mechanism = "reading-waits"
)

// Info describes a mechanism.
type Info struct {
	Name Mechanism
	// Doc says what it does and what is done without it.
	Doc string
}

// Mechanisms returns every mechanism, sorted by name.
func Mechanisms() []Info { return table }

var table = []Info{
	{ContextMoves, "An endpoint fetches context that another holds. Without it it reads the prompt again."},
	{DomainPreference, "A request with a prompt stays in its failure domain where that delays it little. Without it domains are equal."},
	{EventCoalescing, "Events of a stream that follow each other closely share a write. Without it each is written at once."},
	{FailureRates, "Endpoints at which requests fail more often than at others are chosen last, by what all instances saw. Without it they are only left out after several failures of one instance."},
	{LearnedPace, "Forecasts use times that were seen. Without it all endpoints are taken for usual ones."},
	{ReadingWaits, "A request waits for an endpoint that reads a prompt which it shares. Without it another one reads it too."},
}

// Set is a set of mechanisms. Its zero value is empty.
type Set map[Mechanism]bool

// NewSet returns the set of the named mechanisms; nil for none.
func NewSet(names []string) Set {
	var s Set
	for _, n := range names {
		if s == nil {
			s = make(Set)
		}
		s[Mechanism(n)] = true
	}
	return s
}

// Has reports whether a mechanism is in the set.
func (s Set) Has(m Mechanism) bool { return s[m] }
