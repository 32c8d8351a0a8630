package guard_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/uber-go/tally/v4"

	"github.com/cicadamill/cicadamill/internal/node/guard"
	"github.com/cicadamill/cicadamill/internal/safety/crash"
)

const suspect = 7

// busyGuard returns a guard with a suspect learned from another node, and with
// another job running on the engine.
func busyGuard() *guard.Guard {
	g := guard.New(tally.NoopScope)
	g.Merge([]crash.Entry{{Fingerprint: suspect, Count: 1}})
	g.Admit(context.Background(), crash.Admit{Job: "other", Fingerprint: 1, Target: "a"})
	return g
}

func suspectPlace(job string) crash.Admit {
	return crash.Admit{Job: job, Fingerprint: suspect, Target: "a"}
}

func TestSuspectWaitsForItsEngine(t *testing.T) {
	tests := map[string]struct {
		meanwhile func(*guard.Guard)
		want      crash.Command
		after     time.Duration
	}{
		"other job ends":      {meanwhile: func(g *guard.Guard) { g.Send(crash.Ended{Job: "other", Target: "a"}) }, want: crash.Start{Job: "s", Alone: true}, after: time.Second},
		"other job keeps on":  {meanwhile: func(*guard.Guard) {}, want: crash.Start{Job: "s"}, after: 10 * time.Second},
		"peer convicts it":    {meanwhile: func(g *guard.Guard) { g.Merge([]crash.Entry{{Fingerprint: suspect, Count: 2}}) }, want: crash.Refuse{Job: "s"}, after: time.Second},
		"peer clears another": {meanwhile: func(g *guard.Guard) { g.Merge([]crash.Entry{{Fingerprint: 9}}) }, want: crash.Start{Job: "s"}, after: 10 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := busyGuard()
				ctx, cancel := context.WithCancel(context.Background())
				ended := make(chan error, 1)
				go func(ctx context.Context) { ended <- g.Serve(ctx) }(ctx)
				time.AfterFunc(time.Second, func() { test.meanwhile(g) })
				begun := time.Now()
				assert.Equal(t, test.want, g.Admit(ctx, suspectPlace("s")))
				assert.Equal(t, test.after, time.Since(begun))
				cancel()
				<-ended
			})
		})
	}
}

func TestCancelledSuspectReleasesItsEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := busyGuard()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		assert.IsType(t, crash.Move{}, g.Admit(ctx, suspectPlace("s")))
		assert.IsType(t, crash.Start{}, g.Admit(context.Background(), crash.Admit{Job: "next", Fingerprint: 2, Target: "a"}))
	})
}
