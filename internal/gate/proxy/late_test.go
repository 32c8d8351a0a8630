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

// TestAnswersAreJudgedBeforeTheNextRequest guards against requests that had run and were
// answered 503, or run again: their connection had carried an answer that names no request,
// and a late copy of it came while that answer had not been judged yet.
func TestAnswersAreJudgedBeforeTheNextRequest(t *testing.T) {
	tests := map[string]string{
		"refusal without an id":       "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"misdirected without an id":   "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
		"answer without a seal":       "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 0\r\n\r\n",
		"answer to another request":   "HTTP/1.1 200 OK\r\nId: r0\r\nSeal: s\r\nContent-Length: 0\r\n\r\n",
		"refusal of another request":  "HTTP/1.1 503 Service Unavailable\r\nId: r0\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"failure that names no route": "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n",
	}
	for name, copied := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var runs, judged atomic.Int32
			release, second := make(chan struct{}), make(chan struct{}, 4)
			defer close(release)
			copyTwice := func(rw http.ResponseWriter, _ *http.Request, _ int) {
				conn, reader, _ := rw.(http.Hijacker).Hijack()
				defer func() { _ = conn.Close() }()
				_, _ = io.WriteString(conn, copied)
				next, err := http.ReadRequest(reader.Reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, next.Body)
				runs.Add(1)
				_, _ = io.WriteString(conn, copied)
				second <- struct{}{}
				<-release
			}
			serve := func(rw http.ResponseWriter, r *http.Request, arrival int) {
				switch arrival {
				case 1:
					<-release
				case 2:
					copyTwice(rw, r, arrival)
				default:
					runs.Add(1)
					second <- struct{}{}
					good(rw, r, arrival)
				}
			}
			w := newFixture(t, []target{serve}, func(o *proxy.Options) {
				p := testPlan(longTimeout, longTimeout/2)
				p.Services["app"] = plan.Service{Name: "app", MaxConns: 1}
				o.Plan = func() *plan.Plan { return p }
				o.Picker.SetPlan(p)
				// The answer to the second request is judged late.
				o.OnNeeds = func(roster.Target, time.Time, call.Needs) {
					if judged.Add(1) == 1 {
						select {
						case <-second:
						case <-time.After(300 * time.Millisecond):
						}
					}
				}
			})
			replies := make(chan reply, 1)
			for i := range 2 {
				go func(context.Context) { _ = w.send(t, "/once/x") }(t.Context())
				require.Eventually(t, func() bool { return w.arrivals.Load() == int32(i+1) }, longTimeout, time.Millisecond)
			}
			go func(context.Context) { replies <- w.send(t, "/once/x") }(t.Context())
			got := <-replies
			require.NoError(t, got.err)
			if got.status == http.StatusServiceUnavailable {
				assert.Zero(t, runs.Load(), "the answer says that it has not run")
			}
			assert.LessOrEqual(t, runs.Load(), int32(1), "it runs once")
			assert.Equal(t, "200 good", fmt.Sprint(got.status, " ", got.body))
		})
	}
}
