package poison_test

import (
	"cmp"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/safety/poison"
)

const (
	simulatedHosts   = 8
	simulatedTargets = 9
	// badPart is the part that crashes targets.
	badPart = 666
)

// fleet simulates hosts that send requests to targets and exchange what they know.
type fleet struct {
	random *rand.Rand
	now    time.Time
	mesh   *mesh
	// pending holds what happens later.
	pending []pendingStep
	// upAt is when each target runs again; running are the requests in their beginning.
	upAt    [simulatedTargets]time.Time
	running [simulatedTargets]map[*run]struct{}
	digest  uint64
	// badFrom is when the bad part, which was sound, turns bad.
	badFrom time.Time

	badCrashes              int
	fifthCrash              time.Time
	late, sound, soundBlock int
}

type pendingStep struct {
	at time.Time
	do func()
}

// run is a request in its beginning on a target.
type run struct {
	request poison.Request
	host    int
	begunAt time.Time
	began   bool
	resent  bool
}

func newFleet(seed int64) *fleet {
	f := &fleet{random: rand.New(rand.NewSource(seed)), now: start, mesh: &mesh{}, badFrom: start}
	for range simulatedHosts {
		f.mesh.nodes = append(f.mesh.nodes, poison.New())
	}
	for i := range f.running {
		f.running[i] = map[*run]struct{}{}
	}
	return f
}

func (f *fleet) after(d time.Duration, do func()) {
	f.pending = append(f.pending, pendingStep{at: f.now.Add(d), do: do})
}

// every repeats a step with random intervals of the given mean.
func (f *fleet) every(mean time.Duration, do func()) {
	f.after(time.Duration(f.random.ExpFloat64()*float64(mean)), func() {
		do()
		f.every(mean, do)
	})
}

// play runs the simulation.
func (f *fleet) play(duration time.Duration) {
	end := f.now.Add(duration)
	f.every(time.Second/34, f.arrive)
	f.after(100*time.Millisecond, f.gossip)
	for {
		next := slices.MinFunc(f.pending, func(a, b pendingStep) int { return a.at.Compare(b.at) })
		i := slices.IndexFunc(f.pending, func(p pendingStep) bool { return p.at.Equal(next.at) })
		f.pending = slices.Delete(f.pending, i, i+1)
		if next.at.After(end) {
			return
		}
		f.now = next.at
		next.do()
	}
}

func (f *fleet) gossip() {
	for range len(f.mesh.letters) {
		f.mesh.deliver(f.now, 0)
	}
	f.after(100*time.Millisecond, f.gossip)
}

func (f *fleet) between(low, high int) time.Duration {
	return time.Duration(low+f.random.Intn(high-low)) * time.Millisecond
}

// arrive lets a client send a request to a host.
func (f *fleet) arrive() {
	f.digest++
	first := uint64(100 + f.random.Intn(4))
	// The first of the second parts are the popular ones.
	second := uint64(1000 + int(260*f.random.Float64()*f.random.Float64()*f.random.Float64()))
	r := poison.Request{Digest: f.digest, Parts: []uint64{first, second}}
	bad := f.random.Intn(100) < 5
	if bad {
		r.Parts = []uint64{first, badPart, second}
	}
	host := f.random.Intn(simulatedHosts)
	_, refused := f.mesh.nodes[host].Refused(f.now, r)
	// The first host chooses the trials.
	if refused && host == 0 && f.mesh.nodes[0].Trial(f.now, r) {
		refused = false
	}
	if !bad {
		f.sound++
		if refused {
			f.soundBlock++
		}
	}
	if !refused {
		f.send(&run{request: r, host: host})
	}
}

func (f *fleet) send(r *run) {
	var up []int
	for target := range simulatedTargets {
		if !f.now.Before(f.upAt[target]) {
			up = append(up, target)
		}
	}
	if len(up) == 0 {
		return
	}
	bad := slices.Contains(r.request.Parts, badPart) && !f.now.Before(f.badFrom)
	if bad && f.badCrashes >= 5 && f.now.Sub(f.fifthCrash) >= 3*time.Second {
		f.late++
	}
	target := up[f.random.Intn(len(up))]
	r.begunAt, r.began = f.now, false
	f.running[target][r] = struct{}{}
	whileRunning := func(do func()) func() {
		return func() {
			if _, runs := f.running[target][r]; runs {
				do()
			}
		}
	}
	headers := f.between(10, 60)
	f.after(headers, whileRunning(func() { r.began = true }))
	if bad {
		f.after(headers+f.between(-5, 150), whileRunning(func() {
			f.badCrashes++
			if f.badCrashes == 5 {
				f.fifthCrash = f.now
			}
			f.crash(target)
		}))
		return
	}
	f.after(headers+f.between(50, 900), whileRunning(func() {
		delete(f.running[target], r)
		f.mesh.send(f.now, r.host, nil, f.mesh.nodes[r.host].Answered(f.now, r.begunAt, r.request))
	}))
}

// crash breaks all requests on a target. Their hosts probe it at once, and all hosts
// find it missing in the list of targets later.
func (f *fleet) crash(target int) {
	if f.now.Before(f.upAt[target]) {
		return
	}
	f.upAt[target] = f.now.Add(f.between(2000, 5000))
	name := fmt.Sprint("engine-", target)
	var broken []*run
	for r := range f.running[target] {
		broken = append(broken, r)
	}
	f.running[target] = map[*run]struct{}{}
	slices.SortFunc(broken, func(a, b *run) int { return cmp.Compare(a.request.Digest, b.request.Digest) })
	for _, r := range broken {
		f.mesh.nodes[r.host].ConnectionBroke(f.now, r.request, name, r.began)
		f.after(f.between(5, 40), func() { f.targetCrashed(r.host, name) })
		f.after(f.between(10, 80), func() { f.resend(r) })
	}
	f.after(f.between(1000, 3000), func() {
		for host := range simulatedHosts {
			f.targetCrashed(host, name)
		}
	})
}

func (f *fleet) targetCrashed(host int, target string) {
	crashes, survivals := f.mesh.nodes[host].TargetCrashed(f.now, target)
	f.mesh.send(f.now, host, crashes, survivals)
}

func (f *fleet) resend(r *run) {
	s := f.mesh.nodes[r.host]
	if r.resent || refused(s, f.now, r.request) || s.Suspected(f.now, r.request) {
		return
	}
	r.resent = true
	f.send(r)
}

// crashOthers crashes single targets and a third of all at once without a request's
// fault.
func (f *fleet) crashOthers() {
	f.every(6*time.Second, func() { f.crash(f.random.Intn(simulatedTargets)) })
	for wave := range 6 {
		f.after(time.Duration(wave%3)*3500*time.Millisecond+time.Duration(wave/3)*40*time.Second+10*time.Second, func() {
			for target := range 3 {
				f.crash(target)
			}
		})
	}
}

// restartHosts replaces hosts by empty ones that learn from another host.
func (f *fleet) restartHosts() {
	f.every(8*time.Second, func() {
		host := f.random.Intn(simulatedHosts)
		f.mesh.nodes[host] = poison.New()
		from := (host + 1) % simulatedHosts
		f.after(f.between(20, 200), func() {
			known := f.mesh.nodes[from]
			f.mesh.nodes[host].Merge(f.now, known.Crashes(f.now), known.Survivals(f.now))
		})
	})
}

func TestSimulatedFleet(t *testing.T) {
	tests := map[string]func(f *fleet){
		"bad part only":            func(*fleet) {},
		"sound part turns bad":     func(f *fleet) { f.badFrom = start.Add(30 * time.Second) },
		"other crashes in between": func(f *fleet) { f.crashOthers() },
		"hosts restart":            func(f *fleet) { f.restartHosts() },
		"other crashes and restarts of a part that turns bad": func(f *fleet) {
			f.badFrom = start.Add(30 * time.Second)
			f.crashOthers()
			f.restartHosts()
		},
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(10) {
				f := newFleet(seed)
				prepare(f)
				f.play(2 * time.Minute)
				t.Logf("seed %d: crashes by the part %d, sent late %d, sound %d, of these refused %d", seed, f.badCrashes, f.late, f.sound, f.soundBlock)
				assert.GreaterOrEqual(t, f.badCrashes, 2, "seed %d", seed)
				assert.LessOrEqual(t, f.late, 3, "seed %d", seed)
				assert.Less(t, 100*f.soundBlock, f.sound, "seed %d", seed)
				assert.Contains(t, blockedFeatures(f.mesh.nodes[0], f.now), badPart, "seed %d", seed)
			}
		})
	}
}
