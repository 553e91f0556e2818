package crexecution

import (
	"context"
	"fmt"
	"testing"
	"time"

	"crocusrack/core/crfuzz"
	"crocusrack/schema/crcaller"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { crfuzz.MainWith(m, 2000, 80) }

const (
	notRun   = crcaller.OutcomeKind_OUTCOME_KIND_NOT_RUN
	unknown  = crcaller.OutcomeKind_OUTCOME_KIND_UNKNOWN
	answered = crcaller.OutcomeKind_OUTCOME_KIND_ANSWERED
)

// tokenHistory is the test oracle for one token: it counts what really happened.
type tokenHistory struct {
	token, service, account string
	executions              int
	answeredNotRun          bool
	recorded                *Outcome
}

type message struct {
	token   *tokenHistory
	to      string
	account string
}

type process struct {
	*Registry
	clock  time.Duration   // offset from machine.now
	unsent []*tokenHistory // started, not sent to an endpoint yet
	sent   []*tokenHistory
}

// machine is the model that rapid drives: its exported methods, except Check, are
// the actions, and Check verifies the invariants after each action.
type machine struct {
	now       time.Time
	runs      uint64
	writes    int
	processes map[string]*process
	replaced  []*process // earlier runs, which may still receive messages
	tokens    []*tokenHistory
	messages  []message
	store     crfuzz.Store
}

func (m *machine) start(name string) {
	m.runs++
	if old := m.processes[name]; old != nil {
		m.replaced = append(m.replaced, old)
	}
	m.processes[name] = &process{Registry: &Registry{
		Instance: name, Run: m.runs, Key: [KeyBytes]byte{byte(m.runs)}, MaxTokens: 5, MaxTotalBodyBytes: 20,
		TokenLifetime: 10 * time.Second, OutcomeLifetime: 30 * time.Second,
	}}
}

func (m *machine) claims() ClaimStore {
	return ClaimStore{Store: m.store.Functions(), WriteID: func() string { m.writes++; return fmt.Sprint(m.writes) }}
}

// noteAnswer records an outcome that a caller was given, and checks that a recorded
// outcome never changes.
func (m *machine) noteAnswer(t *rapid.T, h *tokenHistory, o Outcome, recorded bool) {
	h.answeredNotRun = h.answeredNotRun || o.Kind == notRun
	if !recorded {
		return
	}
	if h.recorded != nil {
		if d := cmp.Diff(*h.recorded, o); d != "" {
			t.Fatalf("the recorded outcome of %s changed:\n%s", h.token, d)
		}
	}
	h.recorded = &o
}

func (m *machine) finish(t *rapid.T, p *process, h *tokenHistory, o Outcome) {
	p.Finish(m.now.Add(p.clock), h.token, o)
	if rapid.Bool().Draw(t, "again") {
		p.Finish(m.now.Add(p.clock), h.token, Outcome{Kind: notRun})
	}
	if kept, state := p.Lookup(m.now.Add(p.clock), h.token); state == Ended {
		m.noteAnswer(t, h, kept, true)
	}
}

func (m *machine) Check(t *rapid.T) {
	for _, h := range m.tokens {
		if h.executions > 1 {
			t.Fatalf("%s ran %d times", h.token, h.executions)
		}
		if h.answeredNotRun && h.executions > 0 {
			t.Fatalf("%s ran, and a caller was told that it did not", h.token)
		}
	}
	for name, p := range m.processes {
		if p.Len() > p.MaxTokens {
			t.Fatalf("%s remembers %d tokens, limit %d", name, p.Len(), p.MaxTokens)
		}
	}
}

func (m *machine) instance(t *rapid.T) string {
	return rapid.SampledFrom([]string{"a", "b", "rack-1-c"}).Draw(t, "instance")
}

func (m *machine) Issue(t *rapid.T) {
	p := m.processes[m.instance(t)]
	h := &tokenHistory{
		service: rapid.SampledFrom([]string{"durable", "plain"}).Draw(t, "service"),
		account: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "account"),
	}
	text, err := p.Issue(m.now.Add(p.clock), h.service, h.account)
	if err != nil {
		return
	}
	h.token = text
	m.tokens = append(m.tokens, h)
	m.messages = append(m.messages, message{token: h, to: p.Instance, account: h.account})
}

// Send sends an attempt, sometimes to the wrong instance or with the wrong client
// account.
func (m *machine) Send(t *rapid.T) {
	if len(m.tokens) == 0 {
		t.Skip()
	}
	h := rapid.SampledFrom(m.tokens).Draw(t, "token")
	m.messages = append(m.messages, message{token: h, to: m.instance(t), account: rapid.SampledFrom([]string{h.account, h.account, "x"}).Draw(t, "account")})
}

// Deliver delivers any message, in any order. The message may stay queued and be
// delivered again.
func (m *machine) Deliver(t *rapid.T) {
	if len(m.messages) == 0 {
		t.Skip()
	}
	i := rapid.IntRange(0, len(m.messages)-1).Draw(t, "message")
	v := m.messages[i]
	if !rapid.Bool().Draw(t, "again") {
		m.messages = append(m.messages[:i:i], m.messages[i+1:]...)
	}
	p := m.processes[v.to]
	if old := rapid.IntRange(-3, len(m.replaced)-1).Draw(t, "old run"); old >= 0 {
		p = m.replaced[old] // The old process was only paused when it was replaced.
	}
	b := p.Begin(m.now.Add(p.clock), v.token.token, v.token.service, v.account)
	switch b.Decision {
	case Start:
		p.unsent = append(p.unsent, v.token)
	case Elsewhere:
		m.messages = append(m.messages, message{token: v.token, to: b.Token.Instance, account: v.account})
	case Recorded, Void, Mismatch:
		m.noteAnswer(t, v.token, b.Outcome, b.Decision == Recorded)
	}
	if v.account != v.token.account && b.Decision != Mismatch && b.Decision != Elsewhere && b.Decision != Void {
		t.Fatalf("another account's token: %v", b.Decision)
	}
}

func popFirst(t *rapid.T, from *[]*tokenHistory) *tokenHistory {
	if len(*from) == 0 {
		t.Skip()
	}
	h := (*from)[0]
	*from = (*from)[1:]
	return h
}

func (m *machine) process(t *rapid.T) *process {
	all := append([]*process{m.processes[m.instance(t)]}, m.replaced...)
	return rapid.SampledFrom(all).Draw(t, "process")
}

// Execute sends a started request, after a claim for the durable service. The
// endpoint runs or refuses it.
func (m *machine) Execute(t *rapid.T) {
	p := m.process(t)
	h := popFirst(t, &p.unsent)
	if h.service == "durable" {
		m.store.Next = func() crfuzz.Fault { return crfuzz.Fault(rapid.IntRange(0, int(crfuzz.FaultCount)-1).Draw(t, "fault")) }
		if c := m.claims().Claim(context.Background(), h.token); c != Claimed {
			m.finish(t, p, h, c.Outcome())
			return
		}
	}
	switch rapid.IntRange(0, 3).Draw(t, "endpoint") {
	case 0:
		m.finish(t, p, h, Outcome{Kind: notRun, Detail: "refused"})
	case 1:
		if h.service != "durable" {
			p.Release(m.now.Add(p.clock), h.token)
		}
	default:
		h.executions++
		p.sent = append(p.sent, h)
	}
}

func (m *machine) Finish(t *rapid.T) {
	p := m.process(t)
	h := popFirst(t, &p.sent)
	kind := rapid.SampledFrom([]crcaller.OutcomeKind{answered, unknown}).Draw(t, "kind")
	m.finish(t, p, h, Outcome{Kind: kind, Body: make([]byte, rapid.IntRange(0, 15).Draw(t, "body"))})
}

// Void voids a token of the durable service, as an instance does that believes
// that the run has ended. The belief may be wrong.
func (m *machine) Void(t *rapid.T) {
	if len(m.tokens) == 0 {
		t.Skip()
	}
	h := rapid.SampledFrom(m.tokens).Draw(t, "token")
	if h.service == "durable" {
		m.noteAnswer(t, h, m.claims().Void(context.Background(), h.token), false)
	}
}

func (m *machine) Settle(t *rapid.T) {
	if len(m.store.Delayed) == 0 {
		t.Skip()
	}
	m.store.ApplyDelayed(rapid.IntRange(0, len(m.store.Delayed)-1).Draw(t, "write"))
}

func (m *machine) Restart(t *rapid.T) { m.start(m.instance(t)) }

func (m *machine) Wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 25).Draw(t, "seconds")) * time.Second)
}

// Jump sets the clock offset of one process.
func (m *machine) Jump(t *rapid.T) {
	m.process(t).clock = time.Duration(rapid.IntRange(-60, 60).Draw(t, "seconds")) * time.Second
}

// TestAtMostOnce checks that no token runs twice, that no caller is told "not run"
// of a token that runs, and that recorded outcomes stay, under delayed, repeated and
// reordered messages, restarts, clock changes and faults of the store.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{now: time.Unix(1e9, 0), processes: map[string]*process{}}
		for _, name := range []string{"a", "b", "rack-1-c"} {
			m.start(name)
		}
		t.Repeat(rapid.StateMachineActions(m))
	})
}
