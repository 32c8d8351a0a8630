package soak_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// stepKind is a fault or a configuration change.
type stepKind string

// The kinds of steps. Values appear in the summary of a run.
const (
	killHost         stepKind = "kill a host"
	killAllHosts     stepKind = "kill all hosts"
	stopHost         stepKind = "stop a host"
	pauseHost        stepKind = "pause a host"
	reloadHost       stepKind = "SIGHUP and other settings"
	resetStore       stepKind = "reset the store's connections"
	silenceStore     stepKind = "silence a host's connections to the store"
	dropStoreReplies stepKind = "cut one way between a host and the store"
	slowStore        stepKind = "slow store"
	dropStoreHistory stepKind = "drop the store's history"
	crashTarget      stepKind = "crash a target"
	drainTarget      stepKind = "a target drains and is replaced"
	unlistTarget     stepKind = "a target is removed from the list and replaced"
	muteTarget       stepKind = "a target closes connections without an answer"
	mixUpTarget      stepKind = "a target returns the answer of another request"
	truncateTarget   stepKind = "a target truncates answers"
	silenceTarget    stepKind = "silence connections to a target"
	resetTarget      stepKind = "reset connections to a target"
	delayTarget      stepKind = "delay connections to a target"
	addRoute         stepKind = "add a route"
	dropRoute        stepKind = "drop a route"
	revokeKey        stepKind = "revoke a key"
	changeWeights    stepKind = "name weights"

	unframeTarget       stepKind = "a target sends answers without a length"
	resetUnframedTarget stepKind = "a target resets answers without a length"
	cutEventTarget      stepKind = "a target ends streams within an event"
	cutUnframedTarget   stepKind = "a target ends streams without chunks within an event"

	copyRefusals  stepKind = "a target sends copies of refusals"
	endlessEvents stepKind = "a target sends events without end"
	longBodies    stepKind = "a burst of bodies at the limit"
	halfClose     stepKind = "clients close their sending side"

	resetUploads stepKind = "a target resets uploads after a part of an answer"
	invalidHeads stepKind = "a target sends invalid heads"
	endlessHeads stepKind = "a target sends heads without end"

	limitTarget stepKind = "a target names a limit"
	pauseTarget stepKind = "a target asks for a pause"
	leaveTarget stepKind = "a target says that it leaves and is replaced"
)

// kinds are the steps to draw from. A kind that is frequent in real fleets is
// listed more than once.
var kinds = []stepKind{
	killHost, killHost, killAllHosts, stopHost, stopHost, pauseHost, pauseHost, reloadHost, resetStore, silenceStore, dropStoreReplies, slowStore, dropStoreHistory,
	crashTarget, crashTarget, drainTarget, drainTarget, unlistTarget, muteTarget, mixUpTarget, truncateTarget, silenceTarget, resetTarget, delayTarget,
	addRoute, dropRoute, revokeKey, changeWeights, changeWeights,
}

// framingKinds are the steps that change how answers end. The plans of older seeds do
// not draw from them.
var framingKinds = []stepKind{
	unframeTarget, resetUnframedTarget, resetUnframedTarget, cutEventTarget, cutEventTarget, cutUnframedTarget, cutUnframedTarget,
}

// reviewKinds are the steps that an independent review played.
var reviewKinds = []stepKind{copyRefusals, copyRefusals, endlessEvents, endlessEvents, longBodies, longBodies, halfClose, halfClose}

// headKinds are the steps in which targets send heads that are no answers, or answer before
// they have read a request.
var headKinds = []stepKind{resetUploads, resetUploads, resetUploads, invalidHeads, invalidHeads, endlessHeads}

// needKinds are the steps in which targets say what they need.
var needKinds = []stepKind{limitTarget, limitTarget, limitTarget, pauseTarget, pauseTarget, leaveTarget, leaveTarget}

// isolate isolates a workspace, or ends its isolation.
const isolate stepKind = "a workspace's isolation changes"

// restoreStore brings the store back from a copy. The plans of older seeds do not draw it.
const restoreStore stepKind = "the store comes back from a copy"

// step is one fault or configuration change of a plan.
type step struct {
	kind stepKind
	at   time.Duration
	// duration is the length of a fault that ends by itself.
	duration time.Duration
	// index selects the host or target, modulo their number.
	index int
}

const (
	// startDelay gives the hosts time to start before the first step.
	startDelay     = time.Second
	stepsPerSecond = 1.2
	// durationRange is the width of the range from which durations are drawn.
	durationRange = 3500 * time.Millisecond
	// repeatFraction is the fraction of steps that are followed by another of the
	// same kind.
	repeatFraction = 0.25
)

// newPlan derives the steps from a seed, in order of time. Steps may overlap, and
// some are repeated at the next host or target within a second.
func newPlan(seed uint64, length time.Duration, kinds []stepKind) []step {
	random := rand.New(rand.NewPCG(seed, 1))
	var steps []step
	for range int(length.Seconds() * stepsPerSecond) {
		s := step{
			kind: kinds[random.IntN(len(kinds))], at: startDelay + time.Duration(random.Int64N(int64(length))),
			duration: 200*time.Millisecond + time.Duration(random.Int64N(int64(durationRange))), index: random.IntN(1000),
		}
		steps = append(steps, s)
		if random.Float64() < repeatFraction {
			s.at += time.Duration(random.Int64N(int64(time.Second)))
			s.index++
			steps = append(steps, s)
		}
	}
	slices.SortFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	return steps
}
