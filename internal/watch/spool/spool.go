// Package spool writes log lines without ever holding up who logs them.
package spool

import (
	"context"
	"io"
	"sync/atomic"
	"time"
)

const (
	// length is how many lines wait for a slow reader.
	length = 512
	// linesPerSecond bounds the volume under load; a line takes about 300 bytes,
	// so that a process writes at most 150 kB a second.
	linesPerSecond = 500
	// flushTime is how long the last lines of a process may take.
	flushTime = 200 * time.Millisecond
)

// Spool is a writer for a logger: one Write is one line. Its methods are safe
// for concurrent use.
type Spool struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	second  atomic.Int64
	count   atomic.Int64
	now     func() time.Time
}

// New returns a spool to out. Nothing is written before [Spool.Serve] runs.
//
//	lines := spool.New(os.Stdout)
//	logger, err := logs.New(options, lines)
//	go lines.Serve(ctx)
func New(out io.Writer) *Spool {
	return &Spool{out: out, lines: make(chan []byte, length), now: time.Now}
}

// Write takes a line, or drops it when too many came in this second or the
// reader is slow. It never fails and never waits.
func (s *Spool) Write(line []byte) (int, error) {
	if second := s.now().Unix(); s.second.Swap(second) != second {
		s.count.Store(0)
	}
	if s.count.Add(1) > linesPerSecond {
		s.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were not written.
func (s *Spool) Dropped() int64 { return s.dropped.Load() }

// Serve writes lines until the context ends, and then what still waits.
func (s *Spool) Serve(ctx context.Context) error {
	for {
		select {
		case line := <-s.lines:
			s.put(line)
		case <-ctx.Done():
			s.flush()
			return ctx.Err()
		}
	}
}

func (s *Spool) put(line []byte) {
	if _, err := s.out.Write(line); err != nil {
		s.dropped.Add(1)
	}
}

func (s *Spool) flush() {
	end := s.now().Add(flushTime)
	for s.now().Before(end) {
		select {
		case line := <-s.lines:
			s.put(line)
		default:
			return
		}
	}
}
