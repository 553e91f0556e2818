package crlog_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"crocusrack/io/crlog"
)

// stuck is an output that takes nothing until it is let go.
type stuck struct {
	release chan struct{}
	bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(p)
}

// TestNeverBlocks writes more lines than the queue takes while the output is
// stuck. The log says how many were dropped.
func TestNeverBlocks(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	q := &crlog.Queue{Out: out}
	go q.Run()
	log, err := q.Logger("info")
	if err != nil {
		t.Fatal(err)
	}
	for i := range 10000 {
		log.Info(fmt.Sprint("line ", i))
	}
	dropped := q.Dropped()
	close(out.release)
	q.Close()
	if dropped < 5000 {
		t.Errorf("%d of 10000 lines were dropped", dropped)
	}
	if !strings.Contains(out.String(), fmt.Sprintf(`"dropped":%d`, dropped)) {
		t.Error("the log doesn't say how many lines were dropped")
	}
}

func TestUnknownLevel(t *testing.T) {
	if _, err := (&crlog.Queue{}).Logger("loud"); err == nil || !strings.Contains(err.Error(), "loud") {
		t.Errorf("error %v doesn't name the level", err)
	}
}
