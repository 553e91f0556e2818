package crexplain_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"crocusrack/core/crexplain"
)

func TestReport(t *testing.T) {
	var r crexplain.Report
	for _, l := range []string{
		`{"msg":"entry: request ended","route":"plan","outcome":"answered","target-ms":1000,"first-ms":900}`,
		`{"msg":"entry: request ended","route":"plan","outcome":"answered","target-ms":1000,"first-ms":1500,"granted-ms":800,"waited-ms":790,"reading-ms":300,"overhead-ms":30}`,
		`edge-1 {"msg":"entry: request ended","route":"plan","outcome":"answered","target-ms":1000,"first-ms":1500,"granted-ms":1,"backlog-ms":300,"reading-ms":900}`,
		`12.3 edge-2 {"msg":"entry: request ended","route":"plan","outcome":"answered","target-ms":1000,"first-ms":1500,"granted-ms":1,"backlog-ms":900,"reading-ms":300}`,
		`{"msg":"entry: request ended","route":"plan","outcome":"answered","target-ms":1000,"first-ms":1500,"granted-ms":1,"fetching-ms":1200,"reading-ms":100}`,
		`{"msg":"entry: request ended","route":"plan","outcome":"answered","target-ms":1000,"first-ms":3500,"granted-ms":1,"reading-ms":100}`,
		`{"msg":"entry: request ended","route":"book","outcome":"answer-lost","target-ms":200,"first-ms":0}`,
		`{"msg":"entry: request ended","route":"read","outcome":"answered","target-ms":200,"first-ms":700,"granted-ms":600}`,
		`{"msg":"watch: the store is lost"}`,
		`{"msg":"entry: request ended","outcome":"no-route"}`,
	} {
		if err := r.Add([]byte(l)); err != nil {
			t.Errorf("%s: %v", l, err)
		}
	}
	want := []crexplain.Row{
		{Route: "book", Cause: "answer-lost", Requests: 1, Share: 1},
		{Route: "plan", Cause: "behind-other-prompts", Requests: 1, Share: 1.0 / 6},
		{Route: "plan", Cause: "fetched-context", Requests: 1, Share: 1.0 / 6},
		{Route: "plan", Cause: "read-its-prompt", Requests: 1, Share: 1.0 / 6},
		{Route: "plan", Cause: "unforeseen", Requests: 1, Share: 1.0 / 6},
		{Route: "plan", Cause: "waited-for-a-reading", Requests: 1, Share: 1.0 / 6},
		{Route: "read", Cause: "earlier-attempts", Requests: 1, Share: 1},
	}
	if diff := cmp.Diff(want, r.Rows()); diff != "" {
		t.Errorf("rows (-want +got):\n%s", diff)
	}
	for _, l := range []string{"", "no line", `{"msg":7}`, `{"msg":"entry`} {
		if err := r.Add([]byte(l)); err == nil {
			t.Errorf("Add(%q) returned no error", l)
		}
	}
}
