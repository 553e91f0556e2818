package crsoak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// drawStarts is where the random streams of the daemons' starts begin. Those of servers and
// callers are below.
const drawStarts = 1_000_000

// daemon is one real daemon, as a process of its own.
type daemon struct {
	name     string
	domain   string
	programs []string
	settings string
	log      string
	front    netip.AddrPort
	dir      netip.AddrPort
	peer     netip.AddrPort
	// store is this daemon's link to the store.
	store *proxy

	mu sync.Mutex
	// random draws the program of each start.
	random  *rand.Rand
	process *os.Process
	ended   chan struct{}
	stopped bool
}

// configure writes the settings of the daemon. The share bounds what a version gets before it is known
// to be good; with zero, all versions of a service serve alike.
func (d *daemon) configure(folder string, seeds []string, share float64) error {
	ready, err := freeAddress()
	if err != nil {
		return err
	}
	text := fmt.Sprintf(`instance = %q
failure-domain = %q
front = %q
ready = %q
directory = %q
peer = %q
store = %q
seeds = ["%s"]
key-revocation = %q
stop-timeout = %q
retry-slack = 50
rollout-share = %v
rollout-slack = %v
`, d.name, d.domain, d.front, ready, d.dir, d.peer, d.store.address(), strings.Join(seeds, `", "`), revocation, stopTimeout, share, exposureSlack)
	d.settings = filepath.Join(folder, d.name+".toml")
	d.log = filepath.Join(folder, d.name+".log")
	return os.WriteFile(d.settings, []byte(text), 0o600)
}

// start starts the process, unless it runs or the daemon was stopped for good:
// faults that overlap may each start it anew.
func (d *daemon) start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped || d.runs() {
		return nil
	}
	log, err := os.OpenFile(d.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(d.programs[d.random.IntN(len(d.programs))], "route", "-settings", d.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	d.process, d.ended = cmd.Process, ended
	go func() {
		// How it ended is in its log.
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// runs reports whether the process has not ended. It needs the lock.
func (d *daemon) runs() bool {
	select {
	case <-d.ended:
		return false
	default:
		return d.ended != nil
	}
}

// signal sends a signal to the process that runs now.
func (d *daemon) signal(s syscall.Signal) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	err := d.process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// restart waits for the end of the process, kills it after a time if it hasn't
// ended, and starts it anew.
func (d *daemon) restart(killAfter, pause time.Duration) error {
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(killAfter):
		if err := d.signal(syscall.SIGKILL); err != nil {
			return err
		}
		<-ended
	}
	time.Sleep(pause)
	return d.start()
}

// stop ends the process for good.
func (d *daemon) stop() error {
	d.mu.Lock()
	d.stopped = true
	ended := d.ended
	d.mu.Unlock()
	if ended == nil {
		return nil
	}
	if err := d.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-ended
	return nil
}
