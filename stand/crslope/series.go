package crslope

import (
	"context"
	"fmt"
	"time"
)

// series is one quantity without sockets: what it is, at which sizes it is
// measured, and how.
type series struct {
	name     string
	doc      string
	unit     Unit
	sizeUnit string
	sizes    []int
	target   float64
	budget   float64
	measure  func(r *runner, size int) (float64, error)
}

// runner measures.
type runner struct {
	span time.Duration
}

// timeOf returns the nanoseconds of one call.
func (r *runner) timeOf(call func(i int)) float64 { return timeOf(r.span, call) }

// run measures the series at its first count sizes.
func (s *series) run(ctx context.Context, r *runner, count int) (*Slope, error) {
	slope := &Slope{Name: s.name, Doc: s.doc, Unit: s.unit, SizeUnit: s.sizeUnit, Target: s.target, Budget: s.budget}
	for _, size := range s.sizes[:min(count, len(s.sizes))] {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		value, err := s.measure(r, size)
		if err != nil {
			return nil, fmt.Errorf("%s at %d %s: %w", s.name, size, s.sizeUnit, err)
		}
		slope.Points = append(slope.Points, Point{Size: float64(size), Value: value})
	}
	slope.fit()
	return slope, nil
}

var (
	daemonSizes   = []int{8, 32, 128, targetDaemons}
	endpointSizes = []int{100, 1_000, targetEndpoints, 10_000}
	accountSizes  = []int{100, 1_000, 4_000, targetAccounts}
	largeSizes    = []int{10_000, 100_000, 1_000_000}
)

// allSeries returns the quantities without sockets, sorted by name.
func allSeries() []series {
	return []series{
		{"admit-time", "Admit and Done at the owner of the most endpoints.", Nanoseconds, "endpoints", endpointSizes, targetEndpoints, 0, admitTime},
		{"catalogue-apply-time", "Applying the delta of one changed endpoint; 4,000 accounts beside.", Nanoseconds, "endpoints", endpointSizes, targetEndpoints, 0, applyTime},
		{"catalogue-apply-time-by-account", "Applying the delta of one changed account; 1,000 endpoints beside.", Nanoseconds, "accounts", accountSizes, targetAccounts, 0, applyAccountTime},
		{"catalogue-commit-writes", "Store writes of one accepted change; accounts in the target's proportion.", Calls, "endpoints", endpointSizes, targetEndpoints, 0, commitWrites},
		{"catalogue-delta-bytes", "Message that brings one changed endpoint.", Bytes, "endpoints", endpointSizes, targetEndpoints, 0, deltaBytes},
		{"catalogue-load-reads", "Store reads that bring the whole catalogue; accounts in the target's proportion.", Calls, "endpoints", endpointSizes, targetEndpoints, 0, loadReads},
		{"catalogue-memory", "Catalogue in force; accounts in the target's proportion.", Bytes, "endpoints", endpointSizes, targetEndpoints, 0, catalogueMemory},
		{"catalogue-memory-by-account", "Catalogue in force; 1,000 endpoints beside.", Bytes, "accounts", accountSizes, targetAccounts, 0, catalogueAccountMemory},
		{"catalogue-since-time", "Finding what a peer that is one version behind lacks; accounts in the target's proportion.", Nanoseconds, "endpoints", endpointSizes, targetEndpoints, 0, sinceTime},
		{"catalogue-whole-bytes", "Message that brings the whole catalogue; accounts in the target's proportion.", Bytes, "endpoints", endpointSizes, targetEndpoints, 0, wholeBytes},
		{"execution-token-memory", "Execution tokens that have run and their outcomes, without bodies; at the target every request has one.", Bytes, "tokens", largeSizes, targetTokens, 0, tokenMemory},
		{"held-chat-memory", "Index of the chats that the owned endpoints hold, 1,622 an endpoint.", Bytes, "chats", largeSizes, chatsPerDaemon, 0, chatMemory},
		{"layout-build-time", "Building the layout of all shards and owners; daemons in the target's proportion.", Nanoseconds, "endpoints", endpointSizes, targetEndpoints, 0, layoutTime},
		{"layout-memory", "Layout of all shards and owners; daemons in the target's proportion.", Bytes, "endpoints", endpointSizes, targetEndpoints, 0, layoutMemory},
		{"load-message-bytes", "One message of load sums when all sums that a peer in another failure domain wants have changed.", Bytes, "services", []int{1, 4, targetServices}, targetServices, 0, loadMessageBytes},
		{"load-table-memory", "Table of load sums.", Bytes, "services", []int{1, 4, targetServices}, targetServices, 0, loadTableMemory},
		{"member-fetch-bytes", "Message that brings the whole member table to a daemon that starts.", Bytes, "daemons", daemonSizes, targetDaemons, 0, memberFetchBytes},
		{"member-fold-time", "Folding a gossip message of four new records and answering it.", Nanoseconds, "daemons", daemonSizes, targetDaemons, 0, memberFoldTime},
		{"member-merge-time", "Merging the whole member table at a start.", Nanoseconds, "daemons", daemonSizes, targetDaemons, 0, memberMergeTime},
		{"member-table-memory", "Member table.", Bytes, "daemons", daemonSizes, targetDaemons, 0, memberMemory},
		{"owned-endpoints-most", "Endpoints of the daemon that owns the most.", Count, "daemons", daemonSizes, targetDaemons, 0, mostEndpoints},
		{"owned-services-most", "Services of the daemon that owns shards of the most.", Count, "daemons", daemonSizes, targetDaemons, 0, mostServices},
		{"owners-share", "Share of the daemons that own a shard.", Count, "daemons", daemonSizes, targetDaemons, 0, ownersShare},
		{"quota-borrower-memory", "Borrower that has met every account.", Bytes, "accounts", accountSizes, targetAccounts, 0, borrowerMemory},
		{"quota-control", "Messages of one daemon of 780 with its quota owners, sent and received in both roles, 150 bytes of framing each counted in.", BytesPerSecond, "accounts", accountSizes, targetAccounts, 0, quotaControl},
		{"quota-instances-time", "Following one changed daemon of 780 with every account met.", Nanoseconds, "accounts", accountSizes, targetAccounts, 0, quotaInstancesTime},
		{"quota-lender-memory", "Lender that owns every account.", Bytes, "accounts", accountSizes, targetAccounts, 0, lenderMemory},
		{"quota-messages", "Asks that one daemon of 780 sends to quota owners.", CallsPerSecond, "accounts", accountSizes, targetAccounts, 0, quotaMessages},
		{"walk-time", "Ordering a service's shards for a chat.", Nanoseconds, "endpoints", endpointSizes, targetEndpoints, 0, walkTime},
	}
}
