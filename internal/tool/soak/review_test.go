package soak_test

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cicadamill/cicadamill/platform/fake"
)

const (
	// bodyCallers is the number of callers with bodies at the limit in one burst.
	bodyCallers = 40
	// memoryInterval is how often the memory of the hosts is read.
	memoryInterval = 50 * time.Millisecond
	// leaveAfter is how long after its request a client closes its sending side: within
	// the events of a stream.
	leaveAfter = 60 * time.Millisecond
)

// TestSoakReview guards against what an independent review found: copies of refusals that
// answer other requests, events without end and bodies at the limit that take a host over
// its memory, and streams of half-closed clients that look complete.
func TestSoakReview(t *testing.T) {
	for _, seed := range []uint64{3601, 3602} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			runSoak(t, scenario{seed: seed, seconds: 8, hosts: 4, kinds: slices.Concat(kinds, reviewKinds, reviewKinds)})
		})
	}
}

// TestSoakReviewSeed runs the seed, seconds and hosts of the flags.
func TestSoakReviewSeed(t *testing.T) {
	if *seed == 1 {
		t.Skip("needs -seed")
	}
	runSoak(t, scenario{seed: *seed, seconds: *seconds, hosts: *hostCount, kinds: slices.Concat(kinds, framingKinds, reviewKinds, reviewKinds)})
}

// clientStep lets clients do for a while what sound ones may do, all at once.
func (f *fleet) clientStep(s step) {
	ctx, cancel := context.WithTimeout(context.Background(), s.duration)
	defer cancel()
	var callers sync.WaitGroup
	for i := range bodyCallers {
		c := newCaller(f, uint64(s.index), 5000+i)
		c.name = fmt.Sprintf("%d-%d-%s", len(s.kind), s.at, c.name)
		callers.Go(func() {
			defer c.client.CloseIdleConnections()
			for ctx.Err() == nil {
				p := f.hosts[c.random.IntN(len(f.hosts))]
				if s.kind == halfClose {
					c.leaveHalfClosed(p)
					time.Sleep(requestInterval)
					continue
				}
				c.body = longBody
				f.checker.addRecord(c.send(p, fake.Effects, "key-0-a"))
			}
		})
	}
	callers.Wait()
}

// longBody is a body as long as the configuration allows.
var longBody = strings.Repeat("x", fake.BodyBytes)

// leaveHalfClosed sends a request for a stream, closes its sending side and checks that
// what it gets doesn't look complete unless it is.
func (c *caller) leaveHalfClosed(p *process) {
	c.sent++
	id := fmt.Sprintf("%s-%d", c.name, c.sent)
	conn, err := net.DialTimeout("tcp", p.settings.Front, requestTimeout)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(requestTimeout))
	parts := strings.Join(append(c.soundParts(), "c"+id+":100"), ",")
	request, err := fake.ClientRequest{
		Address: p.settings.Front, Name: fake.Host, Path: fake.Streams + "x", ID: id, Key: "key-0-a", Deadline: requestTimeout, Body: id,
		Model: fake.Model, Tokens: promptTokens(parts), Parts: parts,
	}.Request(context.Background())
	if err != nil || request.Write(conn) != nil {
		return
	}
	time.Sleep(leaveAfter)
	_ = conn.(*net.TCPConn).CloseWrite()
	// A reset is no complete end either.
	got, _ := io.ReadAll(conn)
	whole := bytes.HasSuffix(got, []byte("0\r\n\r\n")) || bytes.Contains(got, []byte("\r\nContent-Length: 0\r\n"))
	if events := bytes.Count(got, []byte("data: ")); bytes.HasPrefix(got, []byte("HTTP/1.1 200")) && whole && events < fake.StreamEvents {
		c.fleet.checker.addFailure("%s at %s: the stream of a half-closed client ended as complete after %d events", id, p.settings.Name, events)
	}
}

// watchMemory records hosts whose anonymous memory is over the limit of their settings.
func (f *fleet) watchMemory(ctx context.Context) error {
	ticker := time.NewTicker(memoryInterval)
	defer ticker.Stop()
	over := map[string]bool{}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		for _, p := range f.hosts {
			if held := p.anonymousBytes(); held > cmp.Or(p.settings.MemoryMB<<20, fake.MemoryBytes) && !over[p.settings.Name] {
				over[p.settings.Name] = true
				f.checker.addFailure("%s holds %d MB, over its limit", p.settings.Name, held>>20)
			}
		}
	}
}

// anonymousBytes returns the anonymous memory of the process; zero if it isn't running.
func (p *process) anonymousBytes() int {
	p.mu.Lock()
	pid := p.command.Process.Pid
	p.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), "RssAnon:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	// The file has a number here.
	kilobytes, _ := strconv.Atoi(fields[0])
	return kilobytes << 10
}
