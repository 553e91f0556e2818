// Release-and-kill starts servers of a newer version beside those of a service, and kills one daemon a
// second after the first of them.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	crstandin "crocusrack/platform/standin"
	crreview "crocusrack/review/11/common/platform"
)

const (
	daemons = 7
	servers = 12
	// replaced is the number of servers in the release, one each releaseGap.
	replaced   = 5
	releaseGap = 780 * time.Millisecond
	// killedAfter is the time from the start of the release to the kill, and downTime that until the
	// daemon starts again.
	killedAfter = time.Second
	downTime    = time.Second
	// Streams have 55 events and last 8 s.
	events     = 55
	eventPause = 145 * time.Millisecond
	perSecond  = 30
	callers    = 10
	retries    = 1
)

func main() {
	broken, err := run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Println("the case couldn't run:", err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}

func run(program, recordFile string, trouble bool) (broken bool, err error) {
	folder, err := os.MkdirTemp("", "review-12-")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(folder)
	record := &crreview.Record{}
	defer func() {
		if writeErr := record.WriteFile(recordFile); err == nil {
			err = writeErr
		}
	}()
	f := &crreview.Fleet{Program: program, Folder: folder, Record: record}
	defer f.Stop()
	f.EndAfter(110*time.Second, recordFile)
	if err := f.Store.Put(crstandin.KindRouting, crstandin.RoutingName, crreview.Routing(3)); err != nil {
		return false, err
	}
	var old, newer []*crreview.Server
	for i := range servers + replaced {
		s := &crreview.Server{ID: fmt.Sprintf("i-%08x", 0x7f3a91c2+i*7919), Domain: crreview.Domains[i%len(crreview.Domains)],
			Store: &f.Store, Record: record, Events: events, Pause: eventPause}
		if i >= servers {
			newer = append(newer, s)
			continue
		}
		old = append(old, s)
		if err := s.Start("v1"); err != nil {
			return false, err
		}
	}
	defer func() {
		for _, s := range append(old, newer...) {
			s.End()
		}
	}()
	if err := f.Start(daemons); err != nil {
		return false, err
	}
	record.Note("trouble is %t", trouble)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	load := &crreview.Load{Fleet: f, Record: record, Callers: callers, PerSecond: perSecond, Retries: retries}
	load.Start(ctx)
	// Streams of all ages are under way from here on.
	time.Sleep(10 * time.Second)
	var tasks sync.WaitGroup
	if trouble {
		tasks.Go(func() {
			time.Sleep(killedAfter)
			d := f.Daemons[1+rand.IntN(daemons-1)]
			d.Kill()
			time.Sleep(downTime)
			if err := d.Launch(); err != nil {
				record.Note("%s: %v", d.Name, err)
			}
		})
	}
	for i, s := range newer {
		if err := s.Start("v2"); err != nil {
			return false, err
		}
		tasks.Go(old[i].Leave)
		time.Sleep(releaseGap)
	}
	tasks.Wait()
	time.Sleep(10 * time.Second)
	streams := load.End()
	return crreview.JudgeTakeUps(record, f, streams), nil
}
