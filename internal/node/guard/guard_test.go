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

// busy returns a guard with a suspect known from a peer and other work on an
// engine.
func busy() *guard.Guard {
	g := guard.New(tally.NoopScope)
	g.Hear([]crash.Entry{{Fingerprint: suspect, Count: 1}})
	g.Enter(context.Background(), crash.Place{Job: "other", Fingerprint: 1, Target: "a"})
	return g
}

func place(job string) crash.Place {
	return crash.Place{Job: job, Fingerprint: suspect, Target: "a"}
}

func TestSuspectWaitsForItsEngine(t *testing.T) {
	tests := map[string]struct {
		meanwhile func(*guard.Guard)
		want      crash.Command
		after     time.Duration
	}{
		"other work ends":      {meanwhile: func(g *guard.Guard) { g.Tell(crash.Left{Job: "other", Target: "a"}) }, want: crash.Go{Job: "s", Alone: true}, after: time.Second},
		"other work goes on":   {meanwhile: func(*guard.Guard) {}, want: crash.Go{Job: "s"}, after: 10 * time.Second},
		"a peer convicts it":   {meanwhile: func(g *guard.Guard) { g.Hear([]crash.Entry{{Fingerprint: suspect, Count: 2}}) }, want: crash.Refuse{Job: "s"}, after: time.Second},
		"a peer clears others": {meanwhile: func(g *guard.Guard) { g.Hear([]crash.Entry{{Fingerprint: 9}}) }, want: crash.Go{Job: "s"}, after: 10 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := busy()
				ctx, cancel := context.WithCancel(context.Background())
				ended := make(chan error, 1)
				go func(ctx context.Context) { ended <- g.Serve(ctx) }(ctx)
				time.AfterFunc(time.Second, func() { test.meanwhile(g) })
				begun := time.Now()
				assert.Equal(t, test.want, g.Enter(ctx, place("s")))
				assert.Equal(t, test.after, time.Since(begun))
				cancel()
				<-ended
			})
		})
	}
}

func TestWaitingSuspectGivesItsEngineBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := busy()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		assert.IsType(t, crash.Move{}, g.Enter(ctx, place("s")))
		assert.IsType(t, crash.Go{}, g.Enter(context.Background(), crash.Place{Job: "next", Fingerprint: 2, Target: "a"}))
	})
}
