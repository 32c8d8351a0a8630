package soak_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// kind is what a step of a plan does.
type kind string

// The kinds of steps.
const (
	killHost     kind = "kill a host"
	killAll      kind = "kill all hosts"
	stopHost     kind = "stop a host"
	pauseHost    kind = "pause a host"
	hupHost      kind = "SIGHUP and other settings"
	downStore    kind = "reset the store's connections"
	cutStore     kind = "silence a host's connections to the store"
	oneWayStore  kind = "cut one way between a host and the store"
	slowStore    kind = "slow store"
	forgetStore  kind = "drop the store's history"
	crashTarget  kind = "crash a target"
	leaveTarget  kind = "a target leaves, another comes"
	vanishTarget kind = "a target's entry vanishes"
	muteTarget   kind = "a target gives no answers"
	foreignOne   kind = "a target answers with another's"
	tornTarget   kind = "a target breaks answers off"
	silentTarget kind = "silence connections to a target"
	resetTarget  kind = "reset connections to a target"
	delayTarget  kind = "delay connections to a target"
	addPath      kind = "add a route"
	dropPath     kind = "drop a route"
	revokeKey    kind = "revoke a key"
	nameWeights  kind = "name weights"
)

// kinds are all of them; what happens often in a fleet comes more than once.
var kinds = []kind{
	killHost, killHost, killAll, stopHost, stopHost, pauseHost, pauseHost, hupHost, downStore, cutStore, oneWayStore, slowStore, forgetStore,
	crashTarget, crashTarget, leaveTarget, leaveTarget, vanishTarget, muteTarget, foreignOne, tornTarget, silentTarget, resetTarget, delayTarget,
	addPath, dropPath, revokeKey, nameWeights, nameWeights,
}

// step is one fault or change.
type step struct {
	kind kind
	at   time.Duration
	// lasts is how long it lasts, where it does.
	lasts time.Duration
	// subject is which host or target it hits, taken modulo their number.
	subject int
}

const (
	// firstStep is when trouble begins: the hosts have started.
	firstStep = time.Second
	// stepsPerSecond is how much of it there is.
	stepsPerSecond = 1.2
	// maxLast is how long a fault lasts at most.
	maxLast = 3500 * time.Millisecond
	// seriesPart of the steps are followed by another of the same kind.
	seriesPart = 0.25
)

// newPlan draws the steps of a seed. Steps come alone, in series and overlap.
func newPlan(seed uint64, length time.Duration) []step {
	random := rand.New(rand.NewPCG(seed, 1))
	var steps []step
	for range int(length.Seconds() * stepsPerSecond) {
		s := step{
			kind: kinds[random.IntN(len(kinds))], at: firstStep + time.Duration(random.Int64N(int64(length))),
			lasts: 200*time.Millisecond + time.Duration(random.Int64N(int64(maxLast))), subject: random.IntN(1000),
		}
		steps = append(steps, s)
		if random.Float64() < seriesPart {
			s.at += time.Duration(random.Int64N(int64(time.Second)))
			s.subject++
			steps = append(steps, s)
		}
	}
	slices.SortFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	return steps
}
