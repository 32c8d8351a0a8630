// Package spool buffers log lines so that logging never blocks.
package spool

import (
	"context"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxBufferedLines is the number of lines buffered for a slow reader.
	maxBufferedLines = 512
	// linesPerSecond limits the volume under load: at about 300 bytes a line, a
	// process writes at most 150 kB a second.
	linesPerSecond = 500
	// flushTimeout limits the time to write the remaining lines at the end of a
	// process.
	flushTimeout = 200 * time.Millisecond
)

// Spool is a buffered and rate-limited writer for a logger: each Write is one
// line. Its methods are safe for concurrent use.
type Spool struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	second  atomic.Int64
	count   atomic.Int64
	now     func() time.Time
}

// New returns a spool that writes to out while [Spool.Serve] runs.
//
//	lines := spool.New(os.Stdout)
//	logger, err := logs.New(options, lines)
//	go lines.Serve(ctx)
func New(out io.Writer) *Spool {
	return &Spool{out: out, lines: make(chan []byte, maxBufferedLines), now: time.Now}
}

// Write queues a line. It drops the line if the limit of this second is exceeded
// or the buffer is full. It never fails and never blocks.
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

// Serve writes lines until the context ends, then flushes the buffer.
func (s *Spool) Serve(ctx context.Context) error {
	for {
		select {
		case line := <-s.lines:
			s.writeLine(line)
		case <-ctx.Done():
			s.flush()
			return ctx.Err()
		}
	}
}

func (s *Spool) writeLine(line []byte) {
	if _, err := s.out.Write(line); err != nil {
		s.dropped.Add(1)
	}
}

func (s *Spool) flush() {
	end := s.now().Add(flushTimeout)
	for s.now().Before(end) {
		select {
		case line := <-s.lines:
			s.writeLine(line)
		default:
			return
		}
	}
}
