package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cicadamill/cicadamill/platform/fake"
)

// Steps of many hosts, targets or callers at once. The plans of older seeds do not draw
// from them.
const (
	killHerd      stepKind = "kill a herd of hosts"
	leaveTogether stepKind = "many targets leave at once"
	herdAndLeave  stepKind = "many targets leave as a herd of hosts starts again"
	burstOfWork   stepKind = "a burst of requests"
	changeInBurst stepKind = "configurations in a burst of requests"
)

// grownKinds are the steps of a large fleet.
var grownKinds = []stepKind{
	killHerd, leaveTogether, leaveTogether, herdAndLeave, herdAndLeave, burstOfWork, changeInBurst, changeInBurst,
	killHost, stopHost, stopHost, pauseHost, reloadHost, dropStoreHistory, addRoute, dropRoute, revokeKey, changeWeights,
}

// dataCentreNames are the names of data centres; the targets are in the first one.
var dataCentreNames = []string{"east", "west", "north", "south"}

const (
	// hostsPerCaller, hostsPerEngine and hostsPerPlainTarget give a large fleet callers
	// that its targets can serve.
	hostsPerCaller, hostsPerEngine, hostsPerPlainTarget = 2, 2, 4
	// herdShare and leavingShare are the shares of hosts and targets of one step.
	herdShare, leavingShare = 0.6, 0.15
	// burstFactor is the number of callers in a burst beside each usual one.
	burstFactor = 6
	// changesInBurst is the number of configurations in one burst.
	changesInBurst = 3
)

// grownScenario is a fleet of many hosts in several data centres.
func grownScenario(seed uint64, seconds, hosts int) scenario {
	return scenario{
		seed: seed, seconds: seconds, hosts: hosts, kinds: grownKinds, dataCentres: len(dataCentreNames),
		callers: hosts / hostsPerCaller, engines: max(engineCount, hosts/hostsPerEngine), plainTargets: max(plainTargetCount, hosts/hostsPerPlainTarget),
	}
}

// TestSoakGrown guards against requests to targets that had left, and against answers
// that hosts cut off, in a fleet whose hosts follow each other, while herds of hosts start
// again, targets leave and configurations change under overload.
func TestSoakGrown(t *testing.T) {
	for _, s := range []scenario{grownScenario(3501, 14, 16), grownScenario(3502, 14, 16)} {
		t.Run(strconv.FormatUint(s.seed, 10), func(t *testing.T) { runSoak(t, s) })
	}
}

// TestSoakGrownSeed runs the seed, seconds and hosts of the flags.
func TestSoakGrownSeed(t *testing.T) {
	if *hostCount <= 12 {
		t.Skip("needs -hosts above 12: fewer hosts don't follow each other")
	}
	runSoak(t, grownScenario(*seed, *seconds, *hostCount))
}

// grownStep performs a step of many hosts, targets or callers.
func (f *fleet) grownStep(s step) {
	switch s.kind {
	case killHerd:
		f.killHerd(s.index, func() {})
	case herdAndLeave:
		f.killHerd(s.index, func() { f.leaveTogether(s) })
	case leaveTogether:
		f.leaveTogether(s)
	case burstOfWork:
		f.burst(s, 0)
	default:
		f.burst(s, changesInBurst)
	}
}

// killHerd kills a share of the hosts at once and starts them again together; meanwhile
// is called right before that.
func (f *fleet) killHerd(first int, meanwhile func()) {
	// Two herds would wait for each other's hosts.
	f.herdMu.Lock()
	defer f.herdMu.Unlock()
	count := int(herdShare * float64(len(f.hosts)))
	var killed, started, done sync.WaitGroup
	killed.Add(count)
	started.Add(1)
	for _, i := range rand.New(rand.NewPCG(uint64(first), 2)).Perm(len(f.hosts))[:count] {
		p := f.hosts[i]
		done.Go(func() {
			p.stepMu.Lock()
			defer p.stepMu.Unlock()
			defer f.checker.beginFault(p.settings.Name)()
			f.checker.addError(p.signalAndWait(syscall.SIGKILL, exitTimeout))
			killed.Done()
			started.Wait()
			f.checker.addError(p.start())
		})
	}
	killed.Wait()
	time.Sleep(restartDelay)
	var leaving sync.WaitGroup
	leaving.Go(meanwhile)
	started.Done()
	done.Wait()
	leaving.Wait()
}

// leaveTogether lets a share of the targets leave at once, some by a mark in the list,
// the others by vanishing from it. Others take their places.
func (f *fleet) leaveTogether(s step) {
	f.mu.Lock()
	count := max(2, int(leavingShare*float64(len(f.targets))))
	var leaving []*target
	for _, i := range rand.New(rand.NewPCG(uint64(s.index), 3)).Perm(len(f.targets))[:count] {
		leaving = append(leaving, f.targets[i])
	}
	f.mu.Unlock()
	var done sync.WaitGroup
	for i, t := range leaving {
		kind := drainTarget
		if i%3 == 0 {
			kind = unlistTarget
		}
		done.Go(func() { f.targetStep(step{kind: kind, index: s.index}, t) })
	}
	done.Wait()
}

// burst adds callers for the duration of a step, and changes the configuration so often
// meanwhile.
func (f *fleet) burst(s step, changes int) {
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for i := range burstFactor * f.callers {
		c := newCaller(f, uint64(s.index), 1000+i)
		c.name = fmt.Sprintf("burst%d-%d-%s", s.index, s.at, c.name)
		callers.Go(func() { c.sendRequests(ctx) })
	}
	length := time.Second + s.duration
	for i := range changes {
		time.Sleep(length / time.Duration(changes+1))
		kind := []stepKind{addRoute, addRoute, dropRoute}[i%changesInBurst]
		f.configStep(step{kind: kind, index: s.index + i})
	}
	time.Sleep(length / time.Duration(changes+1))
	cancel()
	callers.Wait()
}

// lostShare is the share of its time from which on a request may be ended.
const lostShare = 0.7

// checkCuts checks that hosts that nothing disturbs end no request without a whole
// answer that a sound target has begun to run.
func (c *checker) checkCuts() (found []string) {
	for _, r := range c.records {
		runs := c.runs[r.id]
		if !r.incomplete || len(runs) == 0 || r.ended.Sub(r.sent) > time.Duration(lostShare*float64(requestTimeout)) || !c.undisturbed(r.host, r.sent, r.ended) {
			continue
		}
		last := runs[len(runs)-1]
		if c.crashedDuring(last.Target, r) {
			continue
		}
		if !slices.ContainsFunc(c.targetFaults[last.Target], func(s span) bool {
			return s.from.Before(r.ended) && (s.to.IsZero() || s.to.After(r.sent))
		}) {
			found = append(found, fmt.Sprintf("%s at %s ran at %s and was cut off after %v", r.id, r.host, last.Target, r.ended.Sub(r.sent)))
		}
	}
	return found
}

// crashDelay is the longest time between the arrival of a request and the crash of its
// target.
const crashDelay = 100 * time.Millisecond

// crashedDuring reports whether a request crashed a target while it ran another one.
func (c *checker) crashedDuring(target string, r record) bool {
	return slices.ContainsFunc(c.crashes, func(crash fake.Run) bool {
		return crash.Target == target && crash.At.After(r.sent.Add(-crashDelay)) && crash.At.Before(r.ended)
	})
}
