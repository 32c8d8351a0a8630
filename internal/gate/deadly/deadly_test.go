package deadly_test

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/assert"
	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/gate/deadly"
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
