// Package crsoak runs real daemons as separate processes on loopback, before
// stand-ins of the store and of servers, and injects faults from outside: into
// processes by signals, into links by proxies, into the store and the servers by
// what they answer. It checks the promises by what callers and servers see.
//
// A seed gives the plan of faults. How the processes and the machine interleave
// with it isn't repeated, so a seed that fails may pass again; its logs stay.
package crsoak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	crstandin "crocusrack/platform/standin"
)

const (
	// serverWork is the time of a plain request, and of one event.
	serverWork = 15 * time.Millisecond
	// revocation is the time after which a key that was taken away must not
	// work, and stopTimeout the time between SIGTERM and SIGKILL.
	revocation  = 5 * time.Second
	stopTimeout = 8 * time.Second
	// storeAway is how long the store is away before it comes back from a copy.
	storeAway = time.Second
	// drainTime is how long a leaving server serves on.
	drainTime = 2500 * time.Millisecond
	// callTimeout is how long a caller waits.
	callTimeout = 3 * time.Second
	// startTimeout is how long the daemons have to start.
	startTimeout = time.Minute
	// addressLife is how long callers keep an answer of the directory.
	addressLife = time.Second
	// bytesPerProcess is what one daemon takes at most, for the check before
	// a start; measured daemons take a tenth.
	bytesPerProcess = 128 << 20
	// maxDaemons bounds the processes of a soak.
	maxDaemons = 200
)

// Options are the size and the seed of a soak.
type Options struct {
	Seed uint64
	// Length is how long the load lasts; faults end 8 s before.
	Length time.Duration
	// Daemons, Servers and Callers are how many there are of each.
	Daemons, Servers, Callers int
	// Program is the daemon's program.
	Program string
	// Previous is the daemon's program in an earlier release. If it isn't empty, each start
	// of a daemon draws one of both.
	Previous string
	// Folder gets settings and logs.
	Folder string
	// Recovery also checks that callers are served again after the faults. It
	// depends on the machine's speed.
	Recovery bool
	// Calm leaves the faults out.
	Calm bool
	// Rollout is a roll-out that is played beside the faults; nil for none.
	Rollout *Rollout
	// Out gets the plan; nothing when nil.
	Out io.Writer
}

// Check reports what is wrong with the options.
func (o Options) Check() error {
	if o.Daemons < 1 || o.Daemons > maxDaemons {
		return fmt.Errorf("daemons: %d is not from 1 to %d", o.Daemons, maxDaemons)
	}
	if o.Servers < 2 || o.Callers < 1 {
		return fmt.Errorf("servers, callers: %d and %d; at least 2 and 1", o.Servers, o.Callers)
	}
	if o.Length < recovery+2*faultsFrom {
		return fmt.Errorf("length: %s is shorter than %s", o.Length, recovery+2*faultsFrom)
	}
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return fmt.Errorf("memory: %w", err)
	}
	half := uint64(info.Totalram) * uint64(info.Unit) / 2
	if need := uint64(o.Daemons) * bytesPerProcess; need > half {
		return fmt.Errorf("daemons: %d may take %d MB, over half of the machine's memory (%d MB)", o.Daemons, need>>20, half>>20)
	}
	for _, program := range o.programs() {
		if _, err := os.Stat(program); err != nil {
			return err
		}
	}
	return nil
}

// programs returns the programs that daemons are started from.
func (o Options) programs() []string {
	if o.Previous == "" {
		return []string{o.Program}
	}
	return []string{o.Program, o.Previous}
}

// Run plays one seed. The report holds each promise that was broken; the error
// says why the soak couldn't be played.
func Run(ctx context.Context, o Options) (Report, error) {
	if err := o.Check(); err != nil {
		return Report{}, err
	}
	if o.Out == nil {
		o.Out = io.Discard
	}
	w, err := build(o)
	if w != nil {
		defer func() { err = errors.Join(err, w.close()) }()
	}
	if err != nil {
		return Report{}, err
	}
	if err := w.awaitStart(ctx); err != nil {
		return Report{}, err
	}
	begin := time.Now()
	loadCtx, cancel := context.WithDeadline(ctx, begin.Add(o.Length))
	defer cancel()
	var callers sync.WaitGroup
	calls := make([][]call, o.Callers)
	for i := range o.Callers {
		c := caller{world: w, index: i, random: rand.New(rand.NewPCG(o.Seed, uint64(i)+1000)), begin: begin}
		callers.Go(func() { calls[i] = c.run(loadCtx) })
	}
	var rollout sync.WaitGroup
	if o.Rollout != nil {
		rollout.Go(func() { w.rollOut(loadCtx, *o.Rollout) })
	}
	var failed error
	if o.Calm {
		<-loadCtx.Done()
	} else {
		failed = w.play(loadCtx, o, begin)
	}
	callers.Wait()
	rollout.Wait()
	report := Report{Seed: o.Seed}
	for _, list := range calls {
		for _, c := range list {
			w.judge(&report, c)
		}
	}
	w.judgeLimits(&report)
	if w.rollout != nil {
		w.judgeRollout(&report, o.Calm && o.Recovery)
	}
	if o.Recovery {
		report.judgeRecovery(o.Length - recovery/2)
	}
	return report, failed
}

// awaitStart waits until the directory names every daemon's front.
func (w *world) awaitStart(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		named := 0
		for _, d := range w.daemons {
			list, err := crstandin.Resolve(ctx, http.DefaultClient, d.dir, "")
			if err == nil && len(list) == len(w.daemons) {
				named++
			}
		}
		if named == len(w.daemons) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d of %d daemons know all others after %s", named, len(w.daemons), startTimeout)
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// play carries out the plan.
func (w *world) play(ctx context.Context, o Options, begin time.Time) error {
	var steps sync.WaitGroup
	var mu sync.Mutex
	var failed []error
	for _, s := range Plan(o.Seed, o.Length) {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(begin.Add(s.At))):
		}
		fmt.Fprintln(o.Out, s)
		steps.Go(func() {
			if err := w.do(s); err != nil {
				mu.Lock()
				failed = append(failed, fmt.Errorf("%s: %w", s, err))
				mu.Unlock()
			}
		})
	}
	steps.Wait()
	return errors.Join(failed...)
}

// do carries out one step, and undoes it.
func (w *world) do(s Step) error {
	defer w.notePlayed(s, time.Now())
	d := w.daemons[s.Target%len(w.daemons)]
	server := w.servers[s.Target%len(w.servers)]
	switch s.Action {
	case DaemonKill:
		return errors.Join(d.signal(syscall.SIGKILL), d.restart(stopTimeout, s.For/4))
	case DaemonPause:
		err := d.signal(syscall.SIGSTOP)
		time.Sleep(s.For)
		return errors.Join(err, d.signal(syscall.SIGCONT))
	case DaemonStop:
		return errors.Join(d.signal(syscall.SIGTERM), d.restart(stopTimeout, s.For/4))
	case DaemonReload:
		return d.signal(syscall.SIGHUP)
	case DaemonKillAll:
		return w.killAll(s.For / 4)
	case ServerCrash:
		return server.crash(w, s.For)
	case ServerDrain:
		return server.drain(w)
	case ServerTrouble:
		return server.misbehave(s)
	case ServerLimit:
		server.limit(w, s)
	case LinkDelay, LinkSilence, LinkOneWay, LinkReset:
		server.disturb(s)
	case StoreDown, StoreReset, StoreLost:
		w.store.SetFault(map[Action]crstandin.Fault{StoreDown: crstandin.Busy, StoreReset: crstandin.Reset, StoreLost: crstandin.Lost}[s.Action])
		time.Sleep(s.For)
		w.store.SetFault(crstandin.Sound)
	case StoreForget:
		w.store.Forget()
	case StoreSilence:
		for _, d := range w.daemons {
			d.store.set(linkSilent)
		}
		time.Sleep(s.For)
		for _, d := range w.daemons {
			d.store.set(linkSound)
		}
	case StoreCutOne:
		d.store.set(linkSilent)
		time.Sleep(s.For)
		d.store.set(linkSound)
	case StoreRestore:
		if !w.restores {
			return nil
		}
		return w.restoreStore(s.For)
	case RoutingChange:
		return w.change()
	case RoutingStorm:
		for range 10 {
			if err := w.change(); err != nil {
				return err
			}
			time.Sleep(s.For / 40)
		}
	case KeyTaken:
		return w.take(s.Target)
	case AllKeysTaken:
		if w.previous {
			// The earlier release needs no keys then.
			return nil
		}
		return w.takeAll(s.For)
	}
	return nil
}

func (w *world) killAll(pause time.Duration) error {
	var failed []error
	for _, d := range w.daemons {
		failed = append(failed, d.signal(syscall.SIGKILL))
	}
	for _, d := range w.daemons {
		failed = append(failed, d.restart(stopTimeout, pause/time.Duration(len(w.daemons))))
	}
	return errors.Join(failed...)
}

// restoreStore lets the store be away for a moment and come back from a copy that lacks what was
// written in the given time. The operator and the servers write again what they wrote.
func (w *world) restoreStore(lost time.Duration) error {
	backup := w.store.Copy()
	time.Sleep(lost)
	w.store.SetFault(crstandin.Reset)
	time.Sleep(storeAway)
	w.store.Restore(backup)
	w.store.SetFault(crstandin.Sound)
	w.mu.Lock()
	failed := []error{w.write()}
	w.mu.Unlock()
	for _, s := range w.servers {
		failed = append(failed, s.enterAgain(w))
	}
	return errors.Join(failed...)
}

// misbehave lets the server spoil a part of its answers for a while.
func (s *server) misbehave(step Step) error {
	const share = 0.3
	troubles := []crstandin.Trouble{{Lost: share}, {Cut: share}, {Twice: share}, {Shed: share}, {Foreign: share}}
	s.mu.Lock()
	served := s.served
	s.mu.Unlock()
	trouble := troubles[step.Target/7%len(troubles)]
	switch step.Target / 7 / len(troubles) % 3 {
	case 1:
		trouble.Endless = share / 2
	case 2:
		trouble.Paused = share
	}
	served.SetTrouble(trouble)
	time.Sleep(step.For)
	served.SetTrouble(crstandin.Trouble{})
	return nil
}

// limit lets the server name a limit for a while, which is below what it usually gets.
func (s *server) limit(w *world, step Step) {
	s.limited.Lock()
	defer s.limited.Unlock()
	s.mu.Lock()
	served := s.served
	s.mu.Unlock()
	p := limitPeriod{server: served.ID, perSecond: 0.2 * float64(1+step.Target%20), from: time.Now()}
	served.SetLimit(p.perSecond)
	time.Sleep(2*step.For + limitLearned + limitWindow)
	served.SetLimit(0)
	p.to = time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limits = append(w.limits, p)
}

// disturb disturbs the server's link for a while.
func (s *server) disturb(step Step) {
	s.mu.Lock()
	link := s.link
	s.mu.Unlock()
	if step.Action == LinkReset {
		link.resetAll()
		return
	}
	link.set(map[Action]linkFault{LinkDelay: linkDelayed, LinkSilence: linkSilent, LinkOneWay: linkOneWay}[step.Action])
	time.Sleep(step.For)
	link.set(linkSound)
}

// caller sends requests one after the other, over connections that it keeps.
type caller struct {
	*world
	index  int
	random *rand.Rand
	begin  time.Time
	client *http.Client
	fronts []netip.AddrPort
	until  time.Time
}

// call is one request and what became of it.
type call struct {
	id      string
	kind    crstandin.Kind
	account int
	key     string
	sent    time.Time
	// offset is when it was sent, from the start of the load.
	offset time.Duration
	answer crstandin.Answer
	// from is where the call takes a stream up again, and version the version that began it.
	from    crstandin.TakeUp
	version string
}

func (c *caller) run(ctx context.Context) []call {
	c.client = &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer c.client.CloseIdleConnections()
	var list []call
	for n := 0; ctx.Err() == nil; n++ {
		front, ok := c.front(ctx)
		if !ok {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		account := c.random.IntN(accounts)
		x := call{
			id:   fmt.Sprintf("c%d-%d", c.index, n),
			kind: crstandin.Kind(c.random.IntN(crstandin.Kinds)), account: account,
			key:  keyOf(account, c.random.IntN(generations)),
			sent: time.Now(), offset: time.Since(c.begin),
		}
		// A caller finishes what it began before the load ends.
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
		x.answer = crstandin.Call(callCtx, c.client, front, x.kind, x.id, x.key)
		list = append(list, x)
		if again, broken := x.takenUp(); broken {
			if front, ok = c.front(ctx); ok {
				again.sent, again.offset = time.Now(), time.Since(c.begin)
				again.answer = crstandin.CallFrom(callCtx, c.client, front, again.kind, again.id, again.key, again.from)
				list = append(list, again)
			}
		}
		cancel()
		time.Sleep(time.Duration(c.random.IntN(20)) * time.Millisecond)
	}
	return list
}

// takenUp returns the call that takes a stream up again that has broken off, and false for other
// calls.
func (c call) takenUp() (call, bool) {
	versions := crstandin.EventVersions(c.answer.Body)
	if c.kind != crstandin.Draft || c.answer.Status != http.StatusOK || c.answer.Whole || len(versions) == 0 {
		return call{}, false
	}
	again := c
	again.id, again.from, again.version = c.id+"-again", crstandin.TakeUp{Resumes: c.id, After: len(versions)}, versions[0]
	return again, true
}

// front returns a daemon's front, as a daemon's directory names it.
func (c *caller) front(ctx context.Context) (netip.AddrPort, bool) {
	if time.Now().After(c.until) {
		for range 3 {
			d := c.daemons[c.random.IntN(len(c.daemons))]
			askCtx, cancel := context.WithTimeout(ctx, time.Second)
			list, err := crstandin.Resolve(askCtx, c.client, d.dir, domains[c.index%len(domains)])
			cancel()
			if err == nil && len(list) > 0 {
				c.fronts, c.until = list, time.Now().Add(addressLife)
				break
			}
		}
	}
	if len(c.fronts) == 0 {
		return netip.AddrPort{}, false
	}
	return c.fronts[c.random.IntN(len(c.fronts))], true
}
