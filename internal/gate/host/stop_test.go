package host

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/config/local"
	"github.com/cicadamill/cicadamill/internal/gate/listen"
)

// TestStopRejectsInTime guards against requests that a stopping host took late in its
// grace period and cut off at the end: it began to count only once the lease for orders
// had been released, for which the store has to answer.
func TestStopRejectsInTime(t *testing.T) {
	tests := map[string]time.Duration{"store answers": 10 * time.Millisecond, "store is slow": 2 * time.Second, "store is silent": time.Hour}
	for name, release := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHost(&fakeStore{began: time.Now(), rows: map[string][]byte{}})
				defer func() { _ = h.meter.Close() }()
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				h.server = listen.New(ctx, listener, http.NotFoundHandler(), local.Limits{})
				released, drained := make(chan error, 1), make(chan error, 1)
				time.AfterFunc(release, func() { released <- nil })
				began := time.Now()
				go func(ctx context.Context) {
					h.drain(ctx, released)
					drained <- nil
				}(ctx)
				time.Sleep(balancerLag - 50*time.Millisecond)
				assert.False(t, h.stop.rejecting.Load(), "the balancer still sends requests")
				time.Sleep(100 * time.Millisecond)
				assert.True(t, h.stop.rejecting.Load(), "the balancer has stopped")
				<-drained
				assert.Less(t, time.Since(began), h.settings.Bounds.Grace)
			})
		})
	}
}
