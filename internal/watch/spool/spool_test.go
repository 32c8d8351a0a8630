package spool_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/watch/spool"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestBurstNeitherBlocksNorGrows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := blockedWriter{release: make(chan struct{})}
		lines := spool.New(out)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func(ctx context.Context) { ended <- lines.Serve(ctx) }(ctx)
		began := time.Now()
		const burst = 20_000
		for range burst {
			_, err := lines.Write([]byte("line\n"))
			require.NoError(t, err)
		}
		assert.Zero(t, time.Since(began), "writes must not wait for a blocked reader")
		assert.GreaterOrEqual(t, lines.Dropped(), int64(burst-600))
		cancel()
		close(out.release)
		<-ended
	})
}

func TestVolumeIsBoundedUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var out bytes.Buffer
		lines := spool.New(writer(func(p []byte) (int, error) {
			mu.Lock()
			defer mu.Unlock()
			return out.Write(p)
		}))
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func(ctx context.Context) { ended <- lines.Serve(ctx) }(ctx)
		const seconds, each = 5, 5_000
		for range seconds * 100 {
			for range each / 100 {
				_, _ = lines.Write([]byte("x\n"))
			}
			time.Sleep(10 * time.Millisecond)
		}
		cancel()
		<-ended
		written := int64(out.Len() / 2)
		assert.LessOrEqual(t, written, int64((seconds+1)*500))
		assert.Equal(t, int64(seconds*each), written+lines.Dropped(), "each line must be written or counted as dropped")
	})
}

type writer func(p []byte) (int, error)

func (w writer) Write(p []byte) (int, error) { return w(p) }

func TestLastLinesAreWritten(t *testing.T) {
	var out bytes.Buffer
	lines := spool.New(&out)
	_, err := io.WriteString(lines, "stopped\n")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorIs(t, lines.Serve(ctx), context.Canceled)
	assert.Equal(t, "stopped\n", out.String())
}

func ExampleSpool() {
	var out bytes.Buffer
	lines := spool.New(&out)
	ctx, cancel := context.WithCancel(context.Background())
	_, _ = io.WriteString(lines, "started\n")
	cancel()
	_ = lines.Serve(ctx)
	fmt.Print(out.String())
	// Output: started
}
