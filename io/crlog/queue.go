// Package crlog writes log lines without ever blocking their source: lines go
// through a bounded queue, and those that find it full are dropped and counted.
package crlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// queueLines bounds the lines that wait to be written. At some hundred bytes a
// line they take about a megabyte.
const queueLines = 4096

// Queue writes lines to Out in the background. Set Out before Run.
type Queue struct {
	Out io.Writer

	once    sync.Once
	lines   chan []byte
	ended   chan struct{}
	dropped atomic.Int64
}

func (q *Queue) init() {
	q.once.Do(func() {
		q.lines = make(chan []byte, queueLines)
		q.ended = make(chan struct{})
	})
}

// Write takes a line, or drops it when the queue is full.
func (q *Queue) Write(p []byte) (int, error) {
	q.init()
	select {
	case q.lines <- append([]byte(nil), p...):
	default:
		q.dropped.Add(1)
	}
	return len(p), nil
}

// Sync does nothing: Close waits for the queue.
func (q *Queue) Sync() error { return nil }

// Dropped returns how many lines were dropped.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Run writes until Close. After lines were dropped it says how many.
func (q *Queue) Run() {
	q.init()
	defer close(q.ended)
	told := int64(0)
	for line := range q.lines {
		// There is nowhere to report that the log can't be written.
		_, _ = q.Out.Write(line)
		if n := q.dropped.Load(); n != told {
			fmt.Fprintf(q.Out, "{\"level\":\"warn\",\"msg\":\"log: lines were dropped\",\"dropped\":%d}\n", n-told)
			told = n
		}
	}
}

// Close writes what is queued and ends Run. Nothing may be written afterwards.
func (q *Queue) Close() {
	q.init()
	close(q.lines)
	<-q.ended
}

// Logger returns a logger that writes JSON lines of a level and above to the
// queue.
func (q *Queue) Logger(level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log-level: %w", err)
	}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(config), q, parsed)), nil
}
