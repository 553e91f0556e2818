package crslope

import (
	"google.golang.org/protobuf/proto"

	"crocusrack/core/crmember"
	"crocusrack/schema/crpeer"
)

// foldRecords is the count of new records in a busy gossip message.
const foldRecords = 4

// memberTable returns the table of the first of so many members.
func memberTable(count int) *crmember.Table {
	all := members(count)
	t := &crmember.Table{Self: all[0], Seed: 1}
	t.Merge(now, all[1:])
	t.Tick(now)
	return t
}

func memberMemory(_ *runner, size int) (float64, error) {
	return heapOf(func() *crmember.Table { return memberTable(size) }), nil
}

func memberFetchBytes(_ *runner, size int) (float64, error) {
	return float64(proto.Size(&crpeer.MembersResponse{Members: crmember.MembersProto(members(size))})), nil
}

func memberFoldTime(r *runner, size int) (float64, error) {
	t := memberTable(size)
	all := members(size)
	m := crmember.Message{From: all[1].Name, Incarnation: all[1].Incarnation, Members: all[2 : 2+foldRecords]}
	return r.timeOf(func(int) {
		for i := range m.Members {
			m.Members[i].Incarnation++
		}
		t.Receive(now, m)
	}), nil
}

func memberMergeTime(r *runner, size int) (float64, error) {
	all := members(size)
	return r.timeOf(func(int) {
		t := &crmember.Table{Self: all[0], Seed: 1}
		t.Merge(now, all[1:])
	}), nil
}
