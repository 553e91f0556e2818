// Package crreview runs the daemons of a small deployment as processes, with a store,
// servers and clients around them, for the cases of the review.
package crreview

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	crstandin "crocusrack/platform/standin"
)

// The bounds and figures of the site cedar-order-desk that the cases use.
const (
	Revoke  = 5000 * time.Millisecond
	Contact = 3000 * time.Millisecond
	Drain   = 2000 * time.Millisecond
	Grace   = 8 * time.Second
	// StoreDelay is how long the store takes for an answer.
	StoreDelay = 4 * time.Millisecond
)

// Exit statuses of a case.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

// Zones are the zones of the deployment.
var Zones = []string{"zhubei", "hukou", "zhudong"}

// Record is the file to which a case writes what happened. Create it with Open.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

// Open creates the record in a folder.
func Open(folder string) (*Record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	return &Record{file: f, begin: time.Now()}, err
}

// Printf writes a line with the time since the begin of the case.
func (r *Record) Printf(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The verdict doesn't depend on the record.
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, a...))
}

// Since returns the time of the record at t.
func (r *Record) Since(t time.Time) float64 { return t.Sub(r.begin).Seconds() }

// World is a deployment on loopback. Set the exported fields before Start.
type World struct {
	Record *Record
	// Store handles the calls to the platform's store.
	Store http.Handler
	// Daemons is the number of machines of the system.
	Daemons int

	Machines []*Daemon
	folder   string
	closers  []func()
}

// Daemon is a machine of the system.
type Daemon struct {
	Name, Zone              string
	Front, Ready, Directory netip.AddrPort
	peer                    netip.AddrPort
	settings, log           string

	mu      sync.Mutex
	process *os.Process
	ended   chan struct{}
}

// Serve serves HTTP on a free loopback port until the world is closed.
func (w *World) Serve(h http.Handler) (netip.AddrPort, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	s := &http.Server{Handler: h}
	go s.Serve(l)
	w.closers = append(w.closers, func() { s.Close() })
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// freeAddresses returns loopback addresses that nothing listens on.
func freeAddresses(n int) ([]netip.AddrPort, error) {
	var list []netip.AddrPort
	for range n {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		list = append(list, l.Addr().(*net.TCPAddr).AddrPort())
	}
	return list, nil
}

// delayed is a store that takes StoreDelay for each answer.
func delayed(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(StoreDelay)
		h.ServeHTTP(w, r)
	})
}

// Start starts the store and the daemons, and waits until all daemons are ready.
func (w *World) Start(ctx context.Context) error {
	store, err := w.Serve(delayed(w.Store))
	if err != nil {
		return err
	}
	if w.folder, err = os.MkdirTemp("", "crocusrack-review-"); err != nil {
		return err
	}
	addresses, err := freeAddresses(5 * w.Daemons)
	if err != nil {
		return err
	}
	var seeds []string
	for i := range w.Daemons {
		seeds = append(seeds, fmt.Sprintf("%q", addresses[5*i+3]))
	}
	for i := range w.Daemons {
		a := addresses[5*i : 5*i+5]
		zone := Zones[i%len(Zones)]
		d := &Daemon{
			Name: fmt.Sprintf("edge-%s-%d", zone, i/len(Zones)+1), Zone: zone,
			Front: a[0], Ready: a[1], Directory: a[2], peer: a[3],
		}
		d.settings, d.log = filepath.Join(w.folder, d.Name+".toml"), filepath.Join(w.folder, d.Name+".log")
		// The lines of deploy/router.toml, with the bounds of the site.
		text := fmt.Sprintf(`instance = %q
failure-domain = %q
front = %q
ready = %q
directory = %q
peer = %q
metrics = %q
store = %q
seeds = [%s]
key-revocation = "5000ms"
stop-timeout = "8s"
retry-share = 0.2
retry-slack = 56
retry-window = "10s"
event-delay = "120ms"
cpu-share = 0.4
log-level = "info"
`, d.Name, d.Zone, a[0], a[1], a[2], a[3], a[4], store, strings.Join(seeds[:min(3, len(seeds))], ", "))
		if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := d.Start(); err != nil {
			return err
		}
		w.Machines = append(w.Machines, d)
	}
	for _, d := range w.Machines {
		if err := d.AwaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Close ends all processes and listeners.
func (w *World) Close() {
	for _, d := range w.Machines {
		d.Kill()
	}
	for _, c := range w.closers {
		c()
	}
	if w.folder != "" && os.Getenv("KEEP") == "" {
		// What is left in a temporary folder does no harm.
		_ = os.RemoveAll(w.folder)
	}
}

// Start starts the daemon by the command of the deploy file.
func (d *Daemon) Start() error {
	log, err := os.OpenFile(d.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/crocusrackd", "route", "-settings", d.settings)
	cmd.Stdout, cmd.Stderr = log, log
	// A case that is ended by force must not leave a daemon behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	d.mu.Lock()
	d.process, d.ended = cmd.Process, ended
	d.mu.Unlock()
	go func() {
		// How it ended is in its log.
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the daemon's process.
func (d *Daemon) Signal(s syscall.Signal) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.process.Signal(s)
}

// Pid returns the id of the daemon's process.
func (d *Daemon) Pid() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.process.Pid
}

// Ended returns a channel that is closed when the daemon's process has ended.
func (d *Daemon) Ended() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ended
}

// Kill ends the daemon at once and waits for its end.
func (d *Daemon) Kill() {
	// A process that has ended needs no signal.
	_ = d.Signal(syscall.SIGKILL)
	<-d.Ended()
}

// IsReady asks the daemon whether it is ready.
func (d *Daemon) IsReady(ctx context.Context) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Ready.String()+"/api/readyz", nil)
	if err != nil {
		return false
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// errNotReady means that a daemon wasn't ready in time.
var errNotReady = errors.New("a daemon isn't ready after 15 s")

// AwaitReady waits until the daemon is ready.
func (d *Daemon) AwaitReady(ctx context.Context) error {
	for begin := time.Now(); time.Since(begin) < 15*time.Second; time.Sleep(50 * time.Millisecond) {
		if d.IsReady(ctx) {
			return nil
		}
	}
	return errNotReady
}

// Trouble reports whether the case runs with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Main runs a case, which returns an exit status, and exits with it. The argument of the
// program is the folder of the case.
func Main(run func(ctx context.Context, r *Record) int) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM FOLDER")
		os.Exit(CannotRun)
	}
	r, err := Open(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CannotRun)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	defer cancel()
	r.Printf("trouble: %t", Trouble())
	status := run(ctx, r)
	r.Printf("exit status %d", status)
	fmt.Println(map[int]string{Held: "the rule held", Broken: "the rule was broken", CannotRun: "the case couldn't run"}[status])
	os.Exit(status)
}

// EntryStore is a store to which servers write their entries.
type EntryStore interface {
	Put(kind, name string, spec any) error
}

// Server starts a sound server of the project's stand-ins and writes its entry to the store.
func (w *World) Server(store EntryStore, s *crstandin.Server, zone string) (netip.AddrPort, error) {
	address, err := w.Serve(s)
	if err != nil {
		return address, err
	}
	return address, store.Put(crstandin.KindServers, s.ID, crstandin.Entry(address, zone, "1", time.Now(), false))
}
