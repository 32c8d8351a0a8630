package proxy_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/gate/pick"
	"github.com/cicadamill/cicadamill/internal/gate/plan"
	"github.com/cicadamill/cicadamill/internal/gate/proxy"
	"github.com/cicadamill/cicadamill/internal/gate/roster"
)

// workspaces are the workspaces of the tests of isolation. Each has its name as its key.
var workspaces = []string{"members", "sellers", "staff"}

// isolatingPlan returns a configuration with some of the workspaces isolated and some
// without API keys. Its service opens two connections to a target, the least that there is.
func isolatingPlan(version uint64, isolated, keyless []string) *plan.Plan {
	d := plan.Draft{Version: version, Services: []plan.ServiceDraft{{Service: plan.Service{Name: "app", MaxConns: 1, Engines: &plan.Engines{Slots: 8, CacheTokens: 1 << 20}}}}}
	for name, resumable := range map[string]bool{"stream": false, "resume": true} {
		d.Routes = append(d.Routes, plan.RouteDraft{Route: plan.Route{
			Name: name, Host: "a.example", Prefix: "/" + name + "/", Kind: plan.Stream, Splits: []plan.Split{{Service: "app", Weight: 1}},
			Timeout: longTimeout, Objective: longTimeout / 2, Attempts: 2, Resumable: resumable,
		}})
	}
	for _, name := range workspaces {
		w := plan.WorkspaceDraft{Workspace: plan.Workspace{Name: name, Priority: -1, Isolated: slices.Contains(isolated, name)}}
		if !slices.Contains(keyless, name) {
			w.Keys = []string{name}
		}
		d.Workspaces = append(d.Workspaces, w)
	}
	return d.Plan()
}

// uses finds requests that use parts of prompts which were computed for another workspace.
// All requests have the same parts.
type uses struct {
	mu sync.Mutex
	// isolated are the isolated workspaces of the newest configuration.
	isolated []string
	// computedFor are the workspaces whose requests have run, by scope.
	computedFor map[string][]string
	violations  []string
}

func (u *uses) record(header http.Header) {
	u.mu.Lock()
	defer u.mu.Unlock()
	workspace, scope := header.Get("Workspace"), header.Get("Scope")
	for _, other := range u.computedFor[scope] {
		if other != workspace && (slices.Contains(u.isolated, other) || slices.Contains(u.isolated, workspace)) {
			u.violations = append(u.violations, fmt.Sprintf("%s uses a part of %s in scope %q while %v are isolated", workspace, other, scope, u.isolated))
		}
	}
	u.computedFor[scope] = append(u.computedFor[scope], workspace)
}

// isolatingHost is a host whose configuration changes. What its targets cache counts as
// cached at those of all hosts.
type isolatingHost struct {
	*fixture
	uses    *uses
	plan    atomic.Pointer[plan.Plan]
	picker  *pick.Picker
	lock    *sync.Mutex
	replies chan reply
}

// newIsolatingHost starts a host with a configuration. The targets record in which scope
// they run which workspace's requests, and then serve them.
func newIsolatingHost(t *testing.T, u *uses, p *plan.Plan, targets ...target) *isolatingHost {
	t.Helper()
	h := &isolatingHost{uses: u, replies: make(chan reply, 16)}
	var recording []target
	for _, serve := range targets {
		recording = append(recording, func(w http.ResponseWriter, r *http.Request, arrival int) {
			u.record(r.Header)
			serve(w, r, arrival)
		})
	}
	h.fixture = newFixture(t, recording, func(o *proxy.Options) {
		h.picker, h.lock = o.Picker, o.Lock
		o.Plan = h.plan.Load
	})
	h.apply(p)
	return h
}

// apply puts a configuration into force.
func (h *isolatingHost) apply(p *plan.Plan) {
	h.lock.Lock()
	h.picker.SetPlan(p)
	h.lock.Unlock()
	h.plan.Store(p)
}

// isolate puts the next configuration into force, in which just the given workspaces are
// isolated.
func (h *isolatingHost) isolate(names ...string) {
	h.uses.mu.Lock()
	h.uses.isolated = names
	h.uses.mu.Unlock()
	h.apply(isolatingPlan(h.plan.Load().Version+1, names, nil))
}

func (h *isolatingHost) setSlots(slots int) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.picker.SetTargets(map[string]roster.Target{"t0": {ID: "t0", Born: 1, Service: "app", Address: h.addresses["t0"], Slots: slots}})
}

// ask sends a request of a workspace and checks that it is answered.
func (h *isolatingHost) ask(t *testing.T, workspace string) {
	t.Helper()
	h.askAside(t, workspace, "/stream/x")
	h.await(t, 1)
}

// askAside sends a request in the background.
func (h *isolatingHost) askAside(t *testing.T, workspace, path string) {
	t.Helper()
	go func(context.Context) {
		h.replies <- h.sendBody(t, path, "body", "Model", "m", "Parts", "common,own", "Key", workspace)
	}(t.Context())
}

func (h *isolatingHost) await(t *testing.T, answers int) {
	t.Helper()
	for range answers {
		got := <-h.replies
		require.NoError(t, got.err)
		require.Equal(t, http.StatusOK, got.status, got.body)
	}
}

// TestIsolatedWorkspacesShareNoParts guards against requests that use parts of prompts which
// were computed for another workspace, after one of the two was isolated.
func TestIsolatedWorkspacesShareNoParts(t *testing.T) {
	tests := map[string]func(t *testing.T, u *uses, host func(version uint64, isolated ...string) *isolatingHost){
		"isolated after it has shared": func(t *testing.T, _ *uses, host func(uint64, ...string) *isolatingHost) {
			h := host(1)
			h.ask(t, "members")
			h.isolate("members")
			h.ask(t, "sellers")
			h.ask(t, "members")
		},
		"isolation ends and begins again": func(t *testing.T, _ *uses, host func(uint64, ...string) *isolatingHost) {
			h := host(1)
			for range 3 {
				h.isolate()
				h.ask(t, "members")
				h.ask(t, "sellers")
				h.isolate("members")
				h.ask(t, "members")
				h.ask(t, "sellers")
			}
		},
		"one after the other": func(t *testing.T, _ *uses, host func(uint64, ...string) *isolatingHost) {
			h := host(1)
			for _, isolated := range [][]string{nil, {"members"}, {"sellers"}, {"members", "sellers"}, {"staff", "members"}, {"sellers"}, nil, {"staff"}} {
				h.isolate(isolated...)
				for _, name := range workspaces {
					h.ask(t, name)
				}
			}
		},
		"a host that missed a version": func(t *testing.T, _ *uses, host func(uint64, ...string) *isolatingHost) {
			late, other := host(1), host(1)
			late.ask(t, "members")
			other.isolate("members")
			other.ask(t, "sellers")
			other.isolate()
			other.ask(t, "members")
			other.isolate("members")
			late.apply(other.plan.Load())
			late.ask(t, "sellers")
			other.ask(t, "sellers")
		},
		"a host that starts after the change": func(t *testing.T, u *uses, host func(uint64, ...string) *isolatingHost) {
			host(1).ask(t, "members")
			u.isolated = []string{"members"}
			host(7, "members").ask(t, "sellers")
		},
		"an isolated workspace loses its last key": func(t *testing.T, _ *uses, host func(uint64, ...string) *isolatingHost) {
			h := host(1)
			h.ask(t, "members")
			h.isolate("members")
			h.apply(isolatingPlan(3, []string{"members"}, []string{"members"}))
			h.ask(t, "sellers")
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			u := &uses{computedFor: map[string][]string{}}
			test(t, u, func(version uint64, isolated ...string) *isolatingHost {
				return newIsolatingHost(t, u, isolatingPlan(version, isolated, nil), events(1, 0))
			})
			assert.Empty(t, u.violations)
		})
	}
}

// newBusyHost starts a host whose target runs requests of a workspace until the returned
// function is called.
func newBusyHost(t *testing.T, u *uses, slots, busy int, workspace string) (h *isolatingHost, free func()) {
	t.Helper()
	release := make(chan struct{})
	free = sync.OnceFunc(func() { close(release) })
	t.Cleanup(free)
	h = newIsolatingHost(t, u, isolatingPlan(1, nil, nil), func(w http.ResponseWriter, r *http.Request, arrival int) {
		<-release
		events(1, 0)(w, r, arrival)
	})
	h.setSlots(slots)
	for n := range busy {
		h.askAside(t, workspace, "/stream/x")
		require.Eventually(t, func() bool { return int(h.arrivals.Load()) == n+1 }, longTimeout, time.Millisecond)
	}
	return h, free
}

// TestWaitingRequestsFollowIsolation guards against requests that wait in the host while
// a workspace is isolated, and are sent with the scope from before.
func TestWaitingRequestsFollowIsolation(t *testing.T) {
	tests := map[string]struct {
		// slots is the number of requests that the target takes, busy how many run there.
		slots, busy      int
		running, waiting string
	}{
		"others wait for a target":                      {1, 1, "members", "sellers"},
		"others wait for a connection":                  {8, 2, "members", "sellers"},
		"the isolated workspace waits for a target":     {1, 1, "sellers", "members"},
		"the isolated workspace waits for a connection": {8, 2, "sellers", "members"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := &uses{computedFor: map[string][]string{}}
			h, free := newBusyHost(t, u, test.slots, test.busy, test.running)
			h.askAside(t, test.waiting, "/stream/x")
			require.Eventually(t, func() bool { return h.handler.Active() == test.busy+1 }, longTimeout, time.Millisecond)
			time.Sleep(100 * time.Millisecond)
			require.Equal(t, test.busy, int(h.arrivals.Load()), "the request waits")
			h.isolate("members")
			free()
			h.await(t, test.busy+1)
			assert.Equal(t, test.busy+1, int(h.arrivals.Load()))
			assert.Empty(t, u.violations)
		})
	}
}

// TestRepeatedRequestsFollowIsolation guards against streams that go on at another engine
// with the scope from before a workspace was isolated.
func TestRepeatedRequestsFollowIsolation(t *testing.T) {
	for _, repeated := range []string{"sellers", "members"} {
		t.Run(repeated, func(t *testing.T) {
			u := &uses{computedFor: map[string][]string{}}
			var h *isolatingHost
			breakOff := func(w http.ResponseWriter, r *http.Request, arrival int) {
				h.isolate("members")
				events(4, 3)(w, r, arrival)
			}
			serve := func(w http.ResponseWriter, r *http.Request, arrival int) {
				if arrival == len(workspaces)+1 {
					breakOff(w, r, arrival)
					return
				}
				events(4, 0)(w, r, arrival)
			}
			h = newIsolatingHost(t, u, isolatingPlan(1, nil, nil), serve, serve)
			for _, name := range workspaces {
				h.ask(t, name)
			}
			h.askAside(t, repeated, "/resume/x")
			h.await(t, 1)
			assert.Equal(t, len(workspaces)+2, int(h.arrivals.Load()))
			assert.Empty(t, u.violations)
		})
	}
}

// TestRequestsAtEnginesFollowIsolation guards against requests that wait at a slow engine
// while a workspace is isolated, and begin long after that with the scope from before.
func TestRequestsAtEnginesFollowIsolation(t *testing.T) {
	tests := map[string]struct {
		path, workspace string
		target          target
		// status is the client's, arrivals the number of requests to targets.
		status, arrivals int
	}{
		"a stream that may be resumed":         {"/resume/x", "sellers", first(hanging, events(3, 0)), 200, 2},
		"one of the isolated workspace":        {"/resume/x", "members", first(hanging, events(3, 0)), 200, 2},
		"a stream that may run once":           {"/stream/x", "sellers", hanging, 502, 1},
		"a stream that has begun":              {"/stream/x", "sellers", slowEvents, 200, 1},
		"a workspace that was isolated before": {"/stream/x", "staff", muteAtFirst, 200, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := isolatingPlan(1, []string{"staff"}, nil)
			u := &uses{isolated: []string{"staff"}, computedFor: map[string][]string{"w0" + p.CacheScope("members"): {"members", "sellers"}}}
			h := newIsolatingHost(t, u, p, test.target, test.target)
			h.maintain(t)
			began := time.Now()
			h.askAside(t, test.workspace, test.path)
			require.Eventually(t, func() bool { return h.arrivals.Load() == 1 }, longTimeout, time.Millisecond)
			h.isolate("staff", "members")
			got := <-h.replies
			require.NoError(t, got.err)
			assert.Equal(t, test.status, got.status)
			assert.Equal(t, test.arrivals, int(h.arrivals.Load()))
			assert.Empty(t, u.violations)
			assert.Greater(t, time.Since(began), time.Second, "the engine has a while to begin")
			assert.Less(t, time.Since(began), 4*time.Second)
		})
	}
}

// muteAtFirst sends its headers with its first event, after the time in which a request
// may wait with another scope.
func muteAtFirst(w http.ResponseWriter, r *http.Request, arrival int) {
	select {
	case <-time.After(1500 * time.Millisecond):
		events(1, 0)(w, r, arrival)
	case <-r.Context().Done():
	}
}
