package deadly_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/gate/deadly"
	"github.com/cicadamill/cicadamill/internal/gate/oplog"
	"github.com/cicadamill/cicadamill/internal/gate/roster"
	"github.com/cicadamill/cicadamill/internal/safety/poison"
)

// dialer answers connection attempts: with an error, or until listenFor after the
// first one with a connection and then with a refusal.
type dialer struct {
	err       error
	listenFor time.Duration
	began     time.Time
}

func (d *dialer) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	if d.began.IsZero() {
		d.began = time.Now()
	}
	if errors.Is(d.err, context.DeadlineExceeded) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if d.err != nil {
		return nil, &net.OpError{Op: "dial", Err: d.err}
	}
	if time.Since(d.began) >= d.listenFor {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	conn, _ := net.Pipe()
	return conn, nil
}

func newDetector(name string, dial func(context.Context, string, string) (net.Conn, error), up ...string) *deadly.Detector {
	return deadly.New(deadly.Options{Self: name, Up: func() []string { return up }, Dial: dial, Scope: tally.NoopScope, Logger: hclog.NewNullLogger()})
}

// TestCrashIsARefusedConnection guards against taking a full engine, a cut link or a
// lack of descriptors for a crash, and against missing one whose listener ends last.
func TestCrashIsARefusedConnection(t *testing.T) {
	tests := map[string]struct {
		dialer dialer
		want   bool
	}{
		"nothing listens":                {dialer{}, true},
		"listener ends 10 ms later":      {dialer{listenFor: 10 * time.Millisecond}, true},
		"listener ends 50 ms later":      {dialer{listenFor: 50 * time.Millisecond}, true},
		"target lives":                   {dialer{listenFor: time.Hour}, false},
		"full target resets connections": {dialer{err: syscall.ECONNRESET}, false},
		"no descriptors":                 {dialer{err: syscall.EMFILE}, false},
		"no route":                       {dialer{err: syscall.EHOSTUNREACH}, false},
		"silence":                        {dialer{err: context.DeadlineExceeded}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				d := newDetector("a", test.dialer.dial)
				assert.Equal(t, test.want, d.Broke(t.Context(), poison.Request{Digest: 1}, roster.Target{ID: "e"}, true))
				assert.Less(t, time.Since(began), 200*time.Millisecond, "the retry waits for it")
			})
		})
	}
}

// TestLeavingTargetsAreNoCrashes guards against refusing sound requests that broke as
// their targets were replaced, one after the other.
func TestLeavingTargetsAreNoCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDetector("a", (&dialer{}).dial)
		request := poison.Request{Digest: 1, Parts: []uint64{10}}
		for i := range 5 {
			assert.False(t, d.Broke(t.Context(), request, roster.Target{ID: fmt.Sprint("e", i), Leaving: true}, false))
			time.Sleep(time.Second)
		}
		assert.False(t, d.Refused(time.Now(), request))
	})
}

// crash lets a request break on a target that crashed.
func crash(t *testing.T, d *deadly.Detector, digest uint64, target string) {
	t.Helper()
	assert.True(t, d.Broke(t.Context(), poison.Request{Digest: digest, Parts: []uint64{10, 20}}, roster.Target{ID: target}, true))
}

// TestNodesShareCrashes guards against hosts that send what others refuse, also those
// that learn of it through a third one.
func TestNodesShareCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := map[string]*deadly.Detector{}
		for _, name := range []string{"a", "b", "c"} {
			nodes[name] = newDetector(name, (&dialer{}).dial)
		}
		bad := poison.Request{Digest: 99, Parts: []uint64{11, 20}}
		positions := map[string]uint64{}
		exchange := func(from, to string) {
			after, known := positions[from+to]
			if !known {
				after = oplog.FromNow
			}
			crashes, survivals, next := nodes[from].Since(time.Now(), oplog.Recipient{Node: to}, after)
			positions[from+to] = next
			nodes[to].Merge(time.Now(), crashes, survivals)
		}
		for i := range 2 {
			nodes["a"].Answered(time.Now(), time.Now(), poison.Request{Digest: 5, Parts: []uint64{10}})
			crash(t, nodes["a"], uint64(i), fmt.Sprint("e", i))
			exchange("a", "b")
			exchange("b", "c")
			time.Sleep(time.Second)
			nodes["a"].Answered(time.Now(), time.Now(), poison.Request{Digest: 6, Parts: []uint64{10}})
		}
		for name, d := range nodes {
			assert.True(t, d.Refused(time.Now(), bad), name)
		}
		nodes["c"].Answered(time.Now(), time.Now(), bad)
		exchange("c", "b")
		exchange("b", "a")
		for name, d := range nodes {
			assert.False(t, d.Refused(time.Now(), bad), "%s knows of the survivor", name)
		}
	})
}

// TestManyCrashesReachASlowPeer guards against hosts that never learn of a crash, because
// more of them came since their last message than the log holds.
func TestManyCrashesReachASlowPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		witness, slow := newDetector("a", (&dialer{}).dial), newDetector("b", (&dialer{}).dial)
		_, _, position := witness.Since(time.Now(), oplog.Recipient{Node: "b"}, oplog.FromNow)
		const requests = 1200
		for i := range uint64(requests) {
			crash(t, witness, i, "e")
		}
		time.Sleep(time.Second)
		crash(t, witness, requests, "f")
		crashes, survivals, _ := witness.Since(time.Now(), oplog.Recipient{Node: "b"}, position)
		assert.Equal(t, requests+1, len(crashes))
		slow.Merge(time.Now(), crashes, survivals)
		assert.True(t, slow.Refused(time.Now(), poison.Request{Digest: 9999, Parts: []uint64{20}}))
	})
}
