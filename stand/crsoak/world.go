package crsoak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	crstandin "crocusrack/platform/standin"
)

// world is the platform around the daemons, and the daemons.
type world struct {
	store   crstandin.Store
	record  crstandin.Record
	servers []*server
	daemons []*daemon
	address netip.AddrPort
	closers []func()

	mu      sync.Mutex
	version int
	// keyless counts the steps that keep all keys taken away, and keylessSpans are the spans
	// of those that are over.
	keyless      int
	keylessSpans []span
	// rollout is the roll-out that was played; nil without one.
	rollout *played
	// restores is true if the store may come back from a copy. It doesn't beside a roll-out,
	// whose servers and order aren't written again here.
	restores bool
	// alternates is true if half of the servers start with another version, and each of them anew with
	// the other one.
	alternates bool
	// previous is true if daemons of an earlier release run.
	previous bool
	// limits are the times in which servers named limits, and disturbed those of faults that
	// excuse daemons from keeping to them.
	limits    []limitPeriod
	disturbed []span
	// taken is when the store acknowledged that a key was taken away.
	taken map[string]time.Time
}

// server is a server behind a link of its own.
type server struct {
	name    string
	domain  string
	version string
	// trouble is what the server does wrong from its start on.
	trouble crstandin.Trouble
	link    *proxy

	// limited is held while the server names a limit.
	limited sync.Mutex

	mu     sync.Mutex
	random *rand.Rand
	served *crstandin.Server
	http   *http.Server
	born   time.Time
	// entered is true while the server has an entry, and draining what it says there.
	entered, draining bool
}

// domains are the failure domains of a soak.
var domains = []string{"noord-a", "noord-b", "noord-c"}

// listened counts the listeners of this process.
var listened atomic.Uint32

// listen opens a listener at an address that nothing else on the machine uses: a
// port that is given up for a daemon can't be taken before the daemon has it.
func listen() (net.Listener, error) {
	const most = 250
	n := listened.Add(1)
	own := netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()%most), byte(n / most), byte(1 + n%most)})
	return net.Listen("tcp4", netip.AddrPortFrom(own, 0).String())
}

func freeAddress() (netip.AddrPort, error) {
	l, err := listen()
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// build starts the store and the servers, and prepares the daemons.
func build(o Options) (*world, error) {
	w := &world{taken: make(map[string]time.Time), previous: o.Previous != "", restores: o.Rollout == nil, alternates: o.Rollout == nil}
	l, err := listen()
	if err != nil {
		return nil, err
	}
	w.address = l.Addr().(*net.TCPAddr).AddrPort()
	store := &http.Server{Handler: &w.store}
	go store.Serve(l)
	w.closers = append(w.closers, func() { store.Close() })
	for i := range o.Servers {
		s := &server{name: fmt.Sprint("server-", i), domain: domains[i%len(domains)], version: firstVersion, random: rand.New(rand.NewPCG(o.Seed, uint64(i)+2))}
		if w.alternates && i%2 == 1 {
			s.version = nextVersion
		}
		if err := s.start(w); err != nil {
			return w, err
		}
		w.servers = append(w.servers, s)
		w.closers = append(w.closers, s.close)
	}
	var seeds []string
	for i := range o.Daemons {
		d := &daemon{name: fmt.Sprint("daemon-", i), domain: domains[i%len(domains)], programs: o.programs(), random: rand.New(rand.NewPCG(o.Seed, uint64(i)+drawStarts))}
		var failed [4]error
		d.front, failed[0] = freeAddress()
		d.dir, failed[1] = freeAddress()
		d.peer, failed[2] = freeAddress()
		d.store, failed[3] = newProxy(w.address)
		if err := errors.Join(failed[:]...); err != nil {
			return w, err
		}
		w.daemons = append(w.daemons, d)
		w.closers = append(w.closers, d.store.close)
		if i < 3 {
			seeds = append(seeds, d.peer.String())
		}
	}
	if err := w.change(); err != nil {
		return w, err
	}
	share := exposureShare
	if w.alternates {
		share = 0
	}
	for _, d := range w.daemons {
		if err := errors.Join(d.configure(o.Folder, seeds, share), d.start()); err != nil {
			return w, err
		}
	}
	return w, nil
}

func (w *world) close() error {
	var failed []error
	for _, d := range w.daemons {
		failed = append(failed, d.stop())
	}
	for _, c := range w.closers {
		c()
	}
	return errors.Join(failed...)
}

// start begins a new life of the server, with a new id.
func (s *server) start(w *world) error {
	l, err := listen()
	if err != nil {
		return err
	}
	s.mu.Lock()
	if w.alternates && !s.born.IsZero() {
		s.version = map[string]string{firstVersion: nextVersion, nextVersion: firstVersion}[s.version]
	}
	s.born = time.Now()
	s.served = &crstandin.Server{
		ID: fmt.Sprint(s.name, "-", s.born.UnixMicro()), Version: s.version, Record: &w.record, Work: serverWork, Random: s.random,
	}
	s.served.SetTrouble(s.trouble)
	s.http = &http.Server{Handler: s.served}
	go s.http.Serve(l)
	s.mu.Unlock()
	link, err := newProxy(l.Addr().(*net.TCPAddr).AddrPort())
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.link = link
	s.mu.Unlock()
	return s.enter(w, false)
}

// enter writes the server's entry.
func (s *server) enter(w *world, draining bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entered, s.draining = true, draining
	return w.store.Put(crstandin.KindServers, s.served.ID, crstandin.Entry(s.link.address(), s.domain, s.version, s.born, draining))
}

// enterAgain writes the newest entry of the server again, if it has one, and removes those that
// the store's copy has of its earlier lives.
func (s *server) enterAgain(w *world) error {
	s.mu.Lock()
	entered, id, draining := s.entered, s.served.ID, s.draining
	s.mu.Unlock()
	for _, name := range w.store.Names(crstandin.KindServers) {
		if strings.HasPrefix(name, s.name+"-") && (name != id || !entered) {
			w.store.Delete(crstandin.KindServers, name)
		}
	}
	if !entered {
		return nil
	}
	return s.enter(w, draining)
}

// leave removes the server's entry.
func (s *server) leave(w *world) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entered = false
	w.store.Delete(crstandin.KindServers, s.served.ID)
}

func (s *server) close() {
	s.mu.Lock()
	link, server := s.link, s.http
	s.mu.Unlock()
	server.Close()
	link.close()
}

// crash ends the server at once and starts it anew after a while. Its entry goes
// as it lapses.
func (s *server) crash(w *world, after time.Duration) error {
	s.close()
	time.Sleep(after / 2)
	s.leave(w)
	time.Sleep(after / 2)
	return s.start(w)
}

// drain lets the server leave in order, and starts it anew.
func (s *server) drain(w *world) error {
	if err := s.enter(w, true); err != nil {
		return err
	}
	time.Sleep(drainTime)
	s.leave(w)
	s.close()
	return s.start(w)
}

// keyOf returns the key of an account in a generation.
func keyOf(account, generation int) string { return fmt.Sprintf("key-%d-%d", account, generation) }

// accounts is how many client accounts a soak has.
const accounts = 4

// change writes a new version. Each account has the keys that weren't taken.
func (w *world) change() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 3
	return w.write()
}

func (w *world) write() error {
	keys := make(map[string][]string)
	for a := range accounts {
		name := fmt.Sprint("account-", a)
		keys[name] = nil
		for g := range generations {
			if _, gone := w.taken[keyOf(a, g)]; !gone && w.keyless == 0 {
				keys[name] = append(keys[name], keyOf(a, g))
			}
		}
	}
	return w.store.Put(crstandin.KindRouting, crstandin.RoutingName, crstandin.Routing(w.version, keys))
}

// generations is how many keys each account has; all but the last may be taken.
const generations = 6

// take takes a key away.
func (w *world) take(target int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := keyOf(target%accounts, target/accounts%(generations-1))
	if _, gone := w.taken[key]; gone {
		return nil
	}
	// It is marked before the write; the time is that of the acknowledgement.
	w.taken[key] = time.Now()
	w.version += 3
	err := w.write()
	w.taken[key] = time.Now()
	return err
}

// takeAll takes all keys away, from an acknowledgement on, and gives them back after a time.
func (w *world) takeAll(d time.Duration) error {
	w.mu.Lock()
	w.keyless++
	w.version += 3
	err := w.write()
	s := span{from: time.Now()}
	w.mu.Unlock()
	time.Sleep(d)
	w.mu.Lock()
	defer w.mu.Unlock()
	s.to = time.Now()
	w.keylessSpans = append(w.keylessSpans, s)
	w.keyless--
	w.version += 3
	return errors.Join(err, w.write())
}

// allTakenAt returns when all keys had been taken away that a request which arrived at a server
// at a time might have had.
func (w *world) allTakenAt(arrived time.Time) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.keylessSpans {
		if arrived.After(s.from) && arrived.Before(s.to) {
			return s.from, true
		}
	}
	return time.Time{}, false
}

// takenAt returns when a key was taken away.
func (w *world) takenAt(key string) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, ok := w.taken[key]
	return at, ok
}
