package crloopback

import (
	"io"
	"net"
	"sync"
	"time"
)

// readBytes is the size of one read from the host's network.
const readBytes = 32 << 10

// delayed is the dialling end of a connection whose bytes take time both ways.
type delayed struct {
	net.Conn
	out, in *line
	closed  func(net.Conn)
	once    sync.Once
}

func (c *delayed) Read(b []byte) (int, error)  { return c.in.read(b) }
func (c *delayed) Write(b []byte) (int, error) { return c.out.write(b) }

// Close drops what is still on its way.
func (c *delayed) Close() error {
	var err error
	c.once.Do(func() {
		c.closed(c)
		c.out.end(net.ErrClosed)
		c.in.end(net.ErrClosed)
		err = c.Conn.Close()
	})
	return err
}

// send moves bytes from the line out to the host's network.
func (c *delayed) send() {
	b := make([]byte, readBytes)
	for {
		n, err := c.out.read(b)
		if err != nil {
			return
		}
		if _, err := c.Conn.Write(b[:n]); err != nil {
			c.out.end(err)
			return
		}
	}
}

// receive moves bytes from the host's network to the line in.
func (c *delayed) receive() {
	for {
		b := make([]byte, readBytes)
		n, err := c.Conn.Read(b)
		if n > 0 {
			if _, failed := c.in.write(b[:n]); failed != nil {
				return
			}
		}
		if err != nil {
			c.in.finish(err)
			return
		}
	}
}

// line is one direction: bytes come out in order, a delay after they went in.
type line struct {
	delay func() time.Duration

	mu       sync.Mutex
	changed  *sync.Cond
	segments []segment
	last     time.Time
	// finished is the reader's error once the segments are used up; ended is
	// that of both sides at once.
	finished, ended error
}

type segment struct {
	due  time.Time
	data []byte
}

func newLine(delay func() time.Duration) *line {
	l := &line{delay: delay}
	l.changed = sync.NewCond(&l.mu)
	return l
}

func (l *line) write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended != nil {
		return 0, l.ended
	}
	due := time.Now().Add(l.delay())
	if due.Before(l.last) {
		due = l.last
	}
	l.last = due
	l.segments = append(l.segments, segment{due, append([]byte(nil), b...)})
	l.changed.Broadcast()
	return len(b), nil
}

func (l *line) read(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		if l.ended != nil {
			return 0, l.ended
		}
		if len(l.segments) == 0 {
			if l.finished != nil {
				return 0, l.finished
			}
			l.changed.Wait()
			continue
		}
		if wait := time.Until(l.segments[0].due); wait > 0 {
			l.mu.Unlock()
			time.Sleep(wait)
			l.mu.Lock()
			continue
		}
		return l.take(b), nil
	}
}

func (l *line) take(b []byte) int {
	s := &l.segments[0]
	n := copy(b, s.data)
	s.data = s.data[n:]
	if len(s.data) == 0 {
		l.segments = l.segments[1:]
	}
	return n
}

// finish lets the reader have what is on its way, then the error.
func (l *line) finish(err error) {
	if err == nil {
		err = io.EOF
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finished = err
	l.changed.Broadcast()
}

// end gives both sides the error at once.
func (l *line) end(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended == nil {
		l.ended = err
	}
	l.changed.Broadcast()
}
