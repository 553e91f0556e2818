// Power-lost-twice lets all machines lose power, and again as soon as they have served for a moment, while
// two versions of a service serve side by side.
package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"

	crstandin "crocusrack/platform/standin"
	crreview "crocusrack/review/11/common/platform"
)

const (
	daemons = 7
	// servers of the older version and the newer one.
	older, newer = 7, 5
	// losses is how often all machines lose power, unless the variable LOSSES says it.
	losses = 2
	// darkTime is how long the machines are without power, and backTime the time from then to the next
	// loss.
	darkTime = 1500 * time.Millisecond
	backTime = 1800 * time.Millisecond
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
	folder, err := os.MkdirTemp("", "review-13-")
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
	for i := range older + newer {
		s := &crreview.Server{ID: fmt.Sprintf("i-%08x", 0x7f3a91c2+i*7919), Domain: crreview.Domains[i%len(crreview.Domains)],
			Store: &f.Store, Record: record, Events: events, Pause: eventPause}
		version := "v1"
		if i >= older {
			version = "v2"
		}
		if err := s.Start(version); err != nil {
			return false, err
		}
		defer s.End()
	}
	if err := f.Start(daemons); err != nil {
		return false, err
	}
	record.Note("trouble is %t", trouble)
	ctx, cancel := context.WithTimeout(context.Background(), 80*time.Second)
	defer cancel()
	load := &crreview.Load{Fleet: f, Record: record, Callers: callers, PerSecond: perSecond, Retries: retries}
	load.Start(ctx)
	time.Sleep(12 * time.Second)
	count := losses
	if text := os.Getenv("LOSSES"); text != "" {
		if count, err = strconv.Atoi(text); err != nil {
			return false, err
		}
	}
	if !trouble {
		count = 0
	}
	for range count {
		record.Note("all machines lose power")
		var tasks sync.WaitGroup
		for _, d := range f.Daemons {
			tasks.Go(d.LosePower)
		}
		tasks.Wait()
		time.Sleep(darkTime)
		for _, d := range f.Daemons {
			if err := d.Launch(); err != nil {
				return false, err
			}
		}
		time.Sleep(backTime)
	}
	time.Sleep(14 * time.Second)
	return crreview.JudgeTakeUps(record, f, load.End()), nil
}
