// Package crworkload makes traces of callers' requests and sends them to a
// fleet, checking every answer. A trace depends on its specification and seed
// alone, so that several policies can be given the same one.
package crworkload

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"crocusrack/core/crhash"
	"crocusrack/core/crprefix"
	"crocusrack/stand/crengine"
)

// Account is a client account that sends requests.
type Account struct {
	Name string
	// Weight is the account's share of the requests.
	Weight float64
}

// Spec tells what a trace is made of.
type Spec struct {
	Seed     uint64
	Duration time.Duration
	// Service takes the chats, CallService the calls; a trace has no calls
	// when CallService is empty.
	Service, CallService string
	// TurnsPerSecond and CallsPerSecond are the mean rates.
	TurnsPerSecond, CallsPerSecond float64
	// Returning is the share of turns that go on with an earlier chat.
	Returning float64
	// NotRepeatable is the share of calls that must not be repeated.
	NotRepeatable float64
	// Accounts send the chats and CallAccounts the calls.
	Accounts, CallAccounts []Account
	Broadcast              *Broadcast
}

// Broadcast is a flood of new chats with one long prefix in common.
type Broadcast struct {
	At, Duration time.Duration
	Chats        int
	PrefixTokens int
	Account      string
}

// Turn is one turn of a chat.
type Turn struct {
	At      time.Duration
	Chat    int
	Number  int
	Account string
	Prompt  string
	// MaxTokens bounds the answer.
	MaxTokens uint32
	// Cached is the count of prompt tokens that an endless cache at one
	// endpoint would have found.
	Cached int
}

// Key is the chat key of the turn.
func (t *Turn) Key() string { return fmt.Sprintf("chat-%d", t.Chat) }

// Call is one call to a plain service.
type Call struct {
	At            time.Duration
	Account       string
	NotRepeatable bool
}

// Trace is a list of requests in the order of their times.
type Trace struct {
	Spec  Spec
	Turns []Turn
	Calls []Call
}

// Lengths of prompts, in tokens, and times between the turns of a chat.
const (
	newTokensMin, newTokensMax   = 80, 400
	turnTokensMin, turnTokensMax = 10, 60
	maxAnswerTokens              = 48
	maxTurns                     = 8
	pauseMin                     = 2 * time.Second
)

// chat is the state of a chat while its trace is made.
type chat struct {
	id      int
	account string
	context string
	turns   int
	ready   time.Duration
}

// maker makes one trace.
type maker struct {
	spec   Spec
	random *rand.Rand
	chats  []*chat
	count  int
	trace  *Trace
}

// New makes the trace of a specification.
func New(s Spec) *Trace {
	m := &maker{spec: s, random: rand.New(rand.NewPCG(s.Seed, 1)), trace: &Trace{Spec: s}}
	m.steady()
	m.broadcast()
	m.calls()
	sort.SliceStable(m.trace.Turns, func(i, j int) bool { return m.trace.Turns[i].At < m.trace.Turns[j].At })
	m.trace.findCached()
	return m.trace
}

func (m *maker) steady() {
	for at := m.gap(m.spec.TurnsPerSecond); at < m.spec.Duration; at += m.gap(m.spec.TurnsPerSecond) {
		c := m.returning(at)
		if c == nil {
			c = m.newChat(m.words(newTokensMin, newTokensMax), m.account(m.spec.Accounts))
		}
		m.turn(at, c)
	}
}

func (m *maker) gap(perSecond float64) time.Duration {
	if perSecond <= 0 {
		return time.Duration(1 << 62)
	}
	return time.Duration(m.random.ExpFloat64() / perSecond * float64(time.Second))
}

// returning chooses a chat whose last turn is well over, or none.
func (m *maker) returning(at time.Duration) *chat {
	if m.random.Float64() >= m.spec.Returning {
		return nil
	}
	var ready []*chat
	for _, c := range m.chats {
		if c.ready <= at && c.turns < maxTurns {
			ready = append(ready, c)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[m.random.IntN(len(ready))]
}

func (m *maker) newChat(context, account string) *chat {
	m.count++
	c := &chat{id: m.count, account: account, context: context}
	m.chats = append(m.chats, c)
	return c
}

func (m *maker) turn(at time.Duration, c *chat) {
	if c.turns > 0 {
		c.context += " " + m.words(turnTokensMin, turnTokensMax)
	}
	c.turns++
	m.trace.Turns = append(m.trace.Turns, Turn{
		At:        at,
		Chat:      c.id,
		Number:    c.turns,
		Account:   c.account,
		Prompt:    c.context,
		MaxTokens: maxAnswerTokens,
	})
	c.context += " " + strings.Join(crengine.Answer(c.context, maxAnswerTokens), " ")
	c.ready = at + pauseMin + time.Duration(m.random.ExpFloat64()*float64(pauseMin))
}

func (m *maker) broadcast() {
	b := m.spec.Broadcast
	if b == nil {
		return
	}
	prefix := m.words(b.PrefixTokens, b.PrefixTokens)
	for range b.Chats {
		at := b.At + time.Duration(m.random.Int64N(int64(b.Duration)))
		c := m.newChat(prefix+" "+m.words(turnTokensMin, turnTokensMax), b.Account)
		m.turn(at, c)
	}
}

func (m *maker) calls() {
	if m.spec.CallService == "" {
		return
	}
	for at := m.gap(m.spec.CallsPerSecond); at < m.spec.Duration; at += m.gap(m.spec.CallsPerSecond) {
		m.trace.Calls = append(m.trace.Calls, Call{
			At:            at,
			Account:       m.account(m.spec.CallAccounts),
			NotRepeatable: m.random.Float64() < m.spec.NotRepeatable,
		})
	}
}

func (m *maker) account(accounts []Account) string {
	total := 0.0
	for _, a := range accounts {
		total += a.Weight
	}
	at := m.random.Float64() * total
	for _, a := range accounts {
		if at -= a.Weight; at < 0 {
			return a.Name
		}
	}
	return accounts[len(accounts)-1].Name
}

func (m *maker) words(least, most int) string {
	words := make([]string, least+m.random.IntN(most-least+1))
	for i := range words {
		words[i] = fmt.Sprintf("w%x", m.random.Uint32N(1<<20))
	}
	return strings.Join(words, " ")
}

// findCached computes what an endless cache would find for each turn.
func (t *Trace) findCached() {
	seen := make(map[uint64]bool)
	for i := range t.Turns {
		turn := &t.Turns[i]
		for _, h := range crprefix.Hashes(turn.Prompt, nil) {
			if !seen[h] {
				break
			}
			turn.Cached += crprefix.BlockTokens
		}
		answer := strings.Join(crengine.Answer(turn.Prompt, int(turn.MaxTokens)), " ")
		for _, h := range crprefix.Hashes(turn.Prompt+" "+answer, nil) {
			seen[h] = true
		}
	}
}

// Hash tells traces apart, for reports.
func (t *Trace) Hash() uint64 {
	h := uint64(len(t.Turns))
	for i := range t.Turns {
		h = crhash.Mix(h, crhash.Of(t.Turns[i].Prompt))
	}
	return h
}
