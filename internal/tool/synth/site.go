package synth

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cicadamill/cicadamill/internal/standin/cost"
)

// Site describes a deployment.
type Site struct {
	Name string
	// Apps are the applications, each with engines of its own.
	Apps []App
	// TailTTFT and Recomputation are the weights of the routing objectives, as in
	// the configuration.
	TailTTFT, Recomputation float64
	lengths                 sheetLengths
}

// App is an application with its engines and workspaces.
type App struct {
	Name string
	// Engines are the engines that serve the application.
	Engines []cost.Options
	// rate is the normal load in requests per second.
	rate       float64
	workspaces []*workspace
}

type workspace struct {
	name  string
	share float64
	// traffic is the relative frequency of the workspace's sessions.
	traffic float64
	// commonPrefix is the first segment of every prompt.
	commonPrefix segment
	// materials are texts of which each prompt contains one.
	materials []segment
}

const (
	cacheBlocks   = 128
	materialCount = 4
	// ashaimanRate and kochiRate are in requests per second and engine.
	ashaimanRate = 1.0
	kochiRate    = 0.5
)

// Ashaiman returns the deployment of the Ashaiman co-operative, which gives the
// tail of the time to first token the largest weight.
func Ashaiman() Site {
	s := Site{Name: "ashaiman", TailTTFT: 1, Recomputation: 0.3, lengths: sheetLengths{4000, 10000}}
	s.Apps = []App{newApp("assistant", 9, ashaimanRate, 1), newApp("ordering", 4, ashaimanRate, 2)}
	return s
}

// Kochi returns the deployment of the Kochi timber reuse cell, which gives
// recomputation, and with it the hit rate, the largest weight.
func Kochi() Site {
	s := Site{Name: "kochi", TailTTFT: 0.5, Recomputation: 1, lengths: sheetLengths{10000, 30000}}
	s.Apps = []App{newApp("assistant", 12, kochiRate, 3), newApp("claims", 3, kochiRate, 4)}
	return s
}

func newApp(name string, engines int, rate float64, seed uint64) App {
	a := App{Name: name, rate: rate * float64(engines)}
	for i := range engines {
		a.Engines = append(a.Engines, cost.Options{
			Name: fmt.Sprintf("%s-%d", name, i+1), BlockTokens: BlockTokens, CacheBlocks: cacheBlocks,
			PrefillPerToken: 50 * time.Microsecond, StepBase: 10 * time.Millisecond, StepPerCall: 300 * time.Microsecond,
			ChunkTokens: 2000, MaxRunning: 32, MaxWaiting: 32,
		})
	}
	random := rand.New(rand.NewPCG(seed, seed))
	for i, traffic := range []float64{8, 6, 4, 1, 1, 1, 1, 1} {
		w := &workspace{name: fmt.Sprintf("workspace-%d", i+1), share: traffic, traffic: traffic}
		w.commonPrefix = segment{id: uint64(i + 1), tokens: 2500 + random.IntN(2000)}
		for m := range materialCount {
			w.materials = append(w.materials, segment{id: uint64(100*(i+1) + m), tokens: 6000 + random.IntN(6000)})
		}
		a.workspaces = append(a.workspaces, w)
	}
	return a
}

// Shares returns the share of each workspace of the application.
func (a App) Shares() map[string]float64 {
	shares := map[string]float64{}
	for _, w := range a.workspaces {
		shares[w.name] = w.share
	}
	return shares
}
