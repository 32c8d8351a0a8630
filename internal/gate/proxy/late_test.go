package proxy_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/gate/call"
	"github.com/cicadamill/cicadamill/internal/gate/plan"
	"github.com/cicadamill/cicadamill/internal/gate/proxy"
	"github.com/cicadamill/cicadamill/internal/gate/roster"
)

// copier is a target that keeps its first connection busy, and sends an answer on its
// second one twice: the copy once the next request there has begun to run.
type copier struct {
	answer string
	runs   atomic.Int32
	// second gets a value for each request after the one that was answered twice.
	second  chan struct{}
	release chan struct{}
}

func (c *copier) serve(rw http.ResponseWriter, r *http.Request, arrival int) {
	switch arrival {
	case 1:
		<-c.release
	case 2:
		c.answerTwice(rw)
	default:
		c.runs.Add(1)
		c.second <- struct{}{}
		good(rw, r, arrival)
	}
}

func (c *copier) answerTwice(rw http.ResponseWriter) {
	conn, reader, _ := rw.(http.Hijacker).Hijack()
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, c.answer)
	next, err := http.ReadRequest(reader.Reader)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, next.Body)
	c.runs.Add(1)
	_, _ = io.WriteString(conn, c.answer)
	c.second <- struct{}{}
	<-c.release
}

// TestAnswersAreJudgedBeforeTheNextRequest guards against requests that had run and were
// answered 503, or run again: their connection had carried an answer that names no request,
// and a late copy of it came while that answer had not been judged yet.
func TestAnswersAreJudgedBeforeTheNextRequest(t *testing.T) {
	tests := map[string]string{
		"refusal without an id":         "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"misdirected without an id":     "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
		"answer without a seal":         "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 0\r\n\r\n",
		"answer to another request":     "HTTP/1.1 200 OK\r\nId: r0\r\nSeal: s\r\nContent-Length: 0\r\n\r\n",
		"refusal of another request":    "HTTP/1.1 503 Service Unavailable\r\nId: r0\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"failure that names no request": "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n",
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := &copier{answer: answer, second: make(chan struct{}, 4), release: make(chan struct{})}
			defer close(c.release)
			got := sendBehindCopies(t, c)
			require.NoError(t, got.err)
			if got.status == http.StatusServiceUnavailable {
				assert.Zero(t, c.runs.Load(), "the answer says that it has not run")
			}
			assert.LessOrEqual(t, c.runs.Load(), int32(1), "it runs once")
			assert.Equal(t, "200 good", fmt.Sprint(got.status, " ", got.body))
		})
	}
}

// sendBehindCopies sends two requests that take both connections, and a third that waits
// for one. The answer to the second is judged late.
func sendBehindCopies(t *testing.T, c *copier) reply {
	t.Helper()
	var judged atomic.Int32
	w := newFixture(t, []target{c.serve}, func(o *proxy.Options) {
		p := testPlan(longTimeout, longTimeout/2)
		p.Services["app"] = plan.Service{Name: "app", MaxConns: 1}
		o.Plan = func() *plan.Plan { return p }
		o.Picker.SetPlan(p)
		o.OnNeeds = func(roster.Target, time.Time, call.Needs) {
			if judged.Add(1) > 1 {
				return
			}
			select {
			case <-c.second:
			case <-time.After(300 * time.Millisecond):
			}
		}
	})
	for i := range int32(2) {
		go func(context.Context) { _ = w.send(t, "/once/x") }(t.Context())
		require.Eventually(t, func() bool { return w.arrivals.Load() == i+1 }, longTimeout, time.Millisecond)
	}
	return w.send(t, "/once/x")
}
