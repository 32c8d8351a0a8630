package soak_test

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/platform/fake"
)

const (
	engineCount, plainTargetCount = 4, 3
	targetSlots                   = 8
	workspaceCount                = 3
	// restartDelay is the time between the end of a killed host and its restart.
	restartDelay = 300 * time.Millisecond
	// crashDowntime is how long a crashed target stays down: until its entry has
	// expired.
	crashDowntime = 1200 * time.Millisecond
	// longEntryTime is how long the entry of a crashed target outlasts its downtime.
	longEntryTime = 5 * time.Second
	// serveAfterLeaving is how long a target still serves after it was drained or
	// removed from the list.
	serveAfterLeaving = 5 * time.Second
	// exitTimeout bounds the time from a signal to the exit of a host: its grace
	// period and a margin.
	exitTimeout = fake.Grace + 2*time.Second
)

// fleet holds the processes and stand-ins of one run.
type fleet struct {
	t       *testing.T
	store   *fake.Store
	hosts   []*process
	checker *checker
	// herdMu serializes the steps that kill a herd of hosts.
	herdMu sync.Mutex
	// callers is the number of usual callers.
	callers int

	mu      sync.Mutex
	targets []*target
	created int
	config  fake.Config
	weights uint64
	steps   sync.WaitGroup
	// copies are copies of the store, one each [copyInterval], gone the IDs of the
	// targets that have left.
	copies []fake.Copy
	gone   []string
}

// target is a stand-in of a target that hosts reach through a proxy.
type target struct {
	*fake.Target
	proxy *proxy
	// stepMu serializes the steps that disturb the target.
	stepMu sync.Mutex
}

func newFleet(t *testing.T, binary, folder string, s scenario) *fleet {
	f := &fleet{t: t, store: fake.NewStore(), checker: newChecker(), weights: 1, callers: cmp.Or(s.callers, callersPerHost*s.hosts)}
	f.checker.deadly = s.deadly
	f.config = fake.Config{Version: 1, Keys: map[string][]string{}, BodyBytes: s.bodyBytes}
	for i := range workspaceCount {
		f.config.Keys[fmt.Sprint("workspace", i)] = []string{fmt.Sprint("key-", i, "-a"), fmt.Sprint("key-", i, "-b")}
	}
	if s.limited {
		f.config.Limits = workspaceLimits
	}
	require.NoError(t, f.config.Write(f.store))
	f.checker.limits = f.config.Limits
	require.NoError(t, fake.PublishWeights(f.store, 1))
	server := httptest.NewServer(f.store)
	t.Cleanup(server.Close)
	for range cmp.Or(s.engines, engineCount) {
		f.addTarget(fake.Engines, fake.Model)
	}
	for range cmp.Or(s.plainTargets, plainTargetCount) {
		f.addTarget(fake.Plain, "")
	}
	for i := range s.hosts {
		p, err := newProcess(binary, folder, fmt.Sprintf("host-%02d", i), server.Listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(p.store.close)
		p.settings.MemoryMB = s.memoryMB
		p.settings.DataCentre = dataCentreNames[i%max(s.dataCentres, 1)]
		f.hosts = append(f.hosts, p)
	}
	for _, p := range f.hosts {
		for _, seed := range f.hosts[:min(3, s.hosts)] {
			p.settings.Seeds = append(p.settings.Seeds, seed.settings.Peer)
		}
		require.NoError(t, p.writeSettings())
		require.NoError(t, p.start())
	}
	return f
}

// addTarget starts a target and its proxy and lists the proxy's address.
func (f *fleet) addTarget(service, model string) {
	f.mu.Lock()
	f.created++
	t := &target{Target: fake.NewTarget(&fake.Target{
		ID: fmt.Sprintf("t-%02d", f.created), Service: service, Model: model, Slots: targetSlots,
	}, f.store, f.checker)}
	address := anyPort
	var err error
	if model != "" && len(f.checker.deadly) > 0 {
		t.Hazard = f.hazard(t, f.created)
		// An outgoing connection must not take the port while the target is down.
		address, err = freePort()
	}
	f.targets = append(f.targets, t)
	f.mu.Unlock()
	require.NoError(f.t, err)
	t.proxy, err = newProxy(address, t.Address)
	require.NoError(f.t, err)
	t.ListedAddress = t.proxy.address
	require.NoError(f.t, t.Start())
}

// hazard returns what crashes a target. Every second one comes back with another ID,
// and the entries of half of them last until after that.
func (f *fleet) hazard(t *target, number int) *fake.Hazard {
	h := &fake.Hazard{Parts: f.checker.deadly, Listening: func(on bool) {
		f.checker.addError(t.proxy.setListening(on))
	}}
	if number%2 == 0 {
		first, restarts := t.ID, 0
		h.NextID = func() string {
			restarts++
			return fmt.Sprintf("%s-%d", first, restarts)
		}
	}
	if number%4 < 2 {
		h.EntryTime = longEntryTime
	}
	return h
}

func (f *fleet) target(index int) *target {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.targets[index%len(f.targets)]
}

// close kills all hosts, also suspended ones, and stops all targets.
func (f *fleet) close() {
	for _, p := range f.hosts {
		p.signal(syscall.SIGCONT)
		_ = p.signalAndWait(syscall.SIGKILL, exitTimeout)
	}
	for _, t := range f.targets {
		t.proxy.close()
		t.Stop()
	}
}

// play performs the steps of a plan at their times and waits until all have ended.
func (f *fleet) play(ctx context.Context, steps []step) {
	start := time.Now()
	copying, endCopies := context.WithCancel(ctx)
	defer endCopies()
	f.steps.Add(1)
	go func(ctx context.Context) {
		defer f.steps.Done()
		f.copyStore(ctx)
	}(copying)
	for _, s := range steps {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(start.Add(s.at))):
		}
		f.steps.Add(1)
		go func(context.Context) {
			defer f.steps.Done()
			f.perform(s)
		}(ctx)
	}
	endCopies()
	f.steps.Wait()
}

func (f *fleet) perform(s step) {
	f.checker.countStep(s.kind)
	p := f.hosts[s.index%len(f.hosts)]
	switch s.kind {
	case longBodies, halfClose:
		f.clientStep(s)
	case resetUploads:
		f.uploadStep(s, f.target(s.index))
	case killHerd, leaveTogether, herdAndLeave, burstOfWork, changeInBurst:
		f.grownStep(s)
	case killHost, stopHost, pauseHost, reloadHost:
		f.hostStep(s, p)
	case killAllHosts:
		var all sync.WaitGroup
		for _, p := range f.hosts {
			all.Go(func() { f.hostStep(step{kind: killHost}, p) })
		}
		all.Wait()
	case restoreStore:
		f.restoreStep(s)
	case resetStore, slowStore, dropStoreHistory:
		f.storeStep(s)
	case silenceStore:
		f.inject(s.duration, []*process{p}, func() { p.store.setMode(silence) }, func() { p.store.setMode(forward) })
	case dropStoreReplies:
		f.inject(s.duration, []*process{p}, func() { p.store.setMode(dropReplies) }, func() { p.store.setMode(forward) })
	case addRoute, dropRoute, revokeKey, changeWeights:
		f.configStep(s)
	case isolate:
		f.isolateStep(s)
	default:
		f.targetStep(s, f.target(s.index))
	}
}

// inject applies a fault for a duration and records the hosts as faulty meanwhile.
func (f *fleet) inject(duration time.Duration, hosts []*process, begin, end func()) {
	var ends []func()
	for _, p := range hosts {
		ends = append(ends, f.checker.beginFault(p.settings.Name))
	}
	begin()
	time.Sleep(duration)
	end()
	for _, endFault := range ends {
		endFault()
	}
}

func (f *fleet) hostStep(s step, p *process) {
	p.stepMu.Lock()
	defer p.stepMu.Unlock()
	name := p.settings.Name
	switch s.kind {
	case killHost:
		endFault := f.checker.beginFault(name)
		f.checker.addError(p.signalAndWait(syscall.SIGKILL, exitTimeout))
		time.Sleep(restartDelay)
		f.checker.addError(p.start())
		endFault()
	case stopHost:
		endStop := f.checker.beginStop(name)
		f.checker.addError(p.signalAndWait(syscall.SIGTERM, exitTimeout))
		f.checker.addError(p.start())
		endStop()
	case pauseHost:
		f.inject(s.duration, []*process{p}, func() { p.signal(syscall.SIGSTOP) }, func() { p.signal(syscall.SIGCONT) })
	default:
		p.settings.Note++
		f.checker.addError(p.writeSettings())
		p.awaitSignalHandlers()
		p.signal(syscall.SIGHUP)
	}
}

func (f *fleet) storeStep(s step) {
	switch s.kind {
	case dropStoreHistory:
		f.store.DropHistory()
	case slowStore:
		f.inject(s.duration, f.hosts, func() { f.store.SetDelay(addedDelay) }, func() { f.store.SetDelay(0) })
	default:
		all := func(m mode) func() {
			return func() {
				for _, p := range f.hosts {
					p.store.setMode(m)
				}
			}
		}
		f.inject(s.duration, f.hosts, all(reset), all(forward))
	}
}

// targetFaults are the faults of the steps that change a target's answers.
var targetFaults = map[stepKind]fake.Fault{
	muteTarget: fake.NoResponse, mixUpTarget: fake.WrongResponse, truncateTarget: fake.TruncatedResponse, unframeTarget: fake.UnframedResponse,
	resetUnframedTarget: fake.UnframedReset, cutEventTarget: fake.EndInEvent, cutUnframedTarget: fake.UnframedEndInEvent,
	copyRefusals: fake.CopiedRefusal, endlessEvents: fake.EndlessEvent,
	resetUploads: fake.EarlyReset, invalidHeads: fake.InvalidHead, endlessHeads: fake.EndlessHead,
}

func (f *fleet) targetStep(s step, t *target) {
	t.stepMu.Lock()
	defer t.stepMu.Unlock()
	modes := map[stepKind]mode{silenceTarget: silence, resetTarget: reset, delayTarget: delay}
	if s.kind != drainTarget && s.kind != unlistTarget && s.kind != leaveTarget {
		defer f.checker.beginTargetFault(t.CurrentID())()
	}
	switch s.kind {
	case crashTarget:
		t.Stop()
		time.Sleep(crashDowntime)
		f.checker.addError(t.Start())
	case limitTarget, pauseTarget:
		f.needStep(s, t)
	case drainTarget, unlistTarget, leaveTarget:
		f.replaceTarget(s.kind, t)
	case silenceTarget, resetTarget, delayTarget:
		t.proxy.setMode(modes[s.kind])
		time.Sleep(s.duration)
		t.proxy.setMode(forward)
	default:
		t.SetFault(targetFaults[s.kind])
		time.Sleep(s.duration)
		t.SetFault(fake.None)
	}
}

// replaceTarget starts another target of the same service, drains or removes the
// old one, and stops it after [serveAfterLeaving].
func (f *fleet) replaceTarget(how stepKind, t *target) {
	f.mu.Lock()
	found := false
	for i := range f.targets {
		if f.targets[i] == t {
			f.targets = append(f.targets[:i:i], f.targets[i+1:]...)
			found = true
			break
		}
	}
	f.mu.Unlock()
	if !found {
		return
	}
	f.addTarget(t.Service, t.Model)
	switch how {
	case unlistTarget:
		t.Unlist()
	case leaveTarget:
		// Its entry in the list doesn't change.
		t.SetNeeds(fake.Needs{Leaving: true})
	default:
		f.checker.addError(t.Drain())
	}
	if how != leaveTarget {
		f.checker.targetLeft(t.CurrentID())
	}
	time.Sleep(serveAfterLeaving)
	f.checker.beginTargetFault(t.CurrentID())
	t.Stop()
	t.Unlist()
	t.proxy.close()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gone = append(f.gone, t.CurrentID())
}

// configStep writes a change of the configuration or the weights to the store.
func (f *fleet) configStep(s step) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.kind == changeWeights {
		f.weights++
		f.checker.addError(fake.PublishWeights(f.store, f.weights))
		return
	}
	f.config.Version++
	var path, key string
	switch {
	case s.kind == revokeKey:
		workspace := fmt.Sprint("workspace", s.index%workspaceCount)
		keys := f.config.Keys[workspace]
		if len(keys) < 2 {
			return
		}
		key = keys[1]
		f.config.Keys[workspace] = keys[:1]
	case s.kind == dropRoute && len(f.config.ExtraPaths) > 0:
		path = f.config.ExtraPaths[0]
		f.config.ExtraPaths = f.config.ExtraPaths[1:]
	default:
		s.kind = addRoute
		path = fmt.Sprintf("/extra%d/", f.config.Version)
		f.config.ExtraPaths = append(f.config.ExtraPaths, path)
	}
	f.checker.addError(f.config.Write(f.store))
	f.checker.addChange(configChange{kind: s.kind, path: path, key: key, at: time.Now()})
}

// awaitReady waits until the readiness probe of every host succeeds.
func (f *fleet) awaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, p := range f.hosts {
		for {
			response, err := http.Get("http://" + p.settings.Ready + fake.ReadyPath)
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %v: the process %s", p.settings.Name, timeout, p.status())
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
