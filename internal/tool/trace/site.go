package trace

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cicadamill/cicadamill/internal/standin/cost"
)

// Site is the size of a deployment.
type Site struct {
	// Name is the name of the deployment.
	Name string
	// Apps are its applications, each with engines of its own.
	Apps []App
	// TailTTFT and Recomputation are its weights, as in the configuration.
	TailTTFT, Recomputation float64
	lengths                 sheetLengths
}

// App is an application with its engines.
type App struct {
	// Name is the application's name.
	Name string
	// Engines are the engines that answer it.
	Engines []cost.Options
	// part is its part of the site's requests.
	part       float64
	workspaces []*workspace
}

type workspace struct {
	name      string
	share     float64
	traffic   float64
	common    part
	materials []part
}

const (
	cacheBlocks   = 128
	materialCount = 4
	// ashaimanRate and kochiRate are requests a second for each engine.
	ashaimanRate = 1.0
	kochiRate    = 0.5
)

// Ashaiman returns the co-operative's deployment, which weighs the tail of the
// time to first token most.
func Ashaiman() Site {
	s := Site{Name: "ashaiman", TailTTFT: 1, Recomputation: 0.3, lengths: sheetLengths{4000, 10000}}
	s.Apps = []App{app("assistant", 9, ashaimanRate, 1), app("ordering", 4, ashaimanRate, 2)}
	return s
}

// Kochi returns the giveaway desk's deployment, which weighs recomputation and
// hit rate most.
func Kochi() Site {
	s := Site{Name: "kochi", TailTTFT: 0.5, Recomputation: 1, lengths: sheetLengths{10000, 30000}}
	s.Apps = []App{app("assistant", 12, kochiRate, 3), app("claims", 3, kochiRate, 4)}
	return s
}

func app(name string, engines int, rate float64, seed uint64) App {
	a := App{Name: name, part: rate * float64(engines)}
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
		w.common = part{id: uint64(i + 1), tokens: 2500 + random.IntN(2000)}
		for m := range materialCount {
			w.materials = append(w.materials, part{id: uint64(100*(i+1) + m), tokens: 6000 + random.IntN(6000)})
		}
		a.workspaces = append(a.workspaces, w)
	}
	return a
}

// Shares returns the shares of the application's workspaces.
func (a App) Shares() map[string]float64 {
	shares := map[string]float64{}
	for _, w := range a.workspaces {
		shares[w.name] = w.share
	}
	return shares
}
