package pick_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/gate/call"
	"github.com/cicadamill/cicadamill/internal/gate/needs"
	"github.com/cicadamill/cicadamill/internal/gate/oplog"
	"github.com/cicadamill/cicadamill/internal/gate/pick"
	"github.com/cicadamill/cicadamill/internal/gate/plan"
	"github.com/cicadamill/cicadamill/internal/gate/roster"
	"github.com/cicadamill/cicadamill/internal/gate/timing"
)

var start = time.Unix(1000, 0)

const model = "m"

// engines returns a plan and n engines of one service in two data centres.
func engines(n int) (*plan.Plan, map[string]roster.Target) {
	p := plan.New(plan.Plan{
		Version: 1,
		Services: map[string]plan.Service{
			"lm":  {Name: "lm", MaxConns: 600, Engines: &plan.Engines{Slots: 64, CacheTokens: 130_000, TokenBytes: 35_136, LinkMbps: 740_000}},
			"app": {Name: "app", MaxConns: 100},
		},
		Stores: []plan.Store{{Name: "kept", Address: "10.9.9.9:1", DataCentre: "east", CacheTokens: 700_000, LinkMbps: 59_000}},
	}, nil, nil)
	targets := map[string]roster.Target{}
	for i := range n {
		id, centre := fmt.Sprintf("e%d", i), "east"
		if i%2 == 1 {
			centre = "west"
		}
		targets[id] = roster.Target{
			ID: id, Born: 1, Service: "lm", Address: "10.0.0." + fmt.Sprint(i) + ":80", DataCentre: centre, Slots: 64,
			Versions: map[string]uint64{model: 1},
		}
	}
	return p, targets
}

// workspaces are the names of the workspaces in plans with isolated ones.
var workspaces = []string{"isolated", "members", "sellers"}

// isolate applies a configuration in which some workspaces are isolated.
func isolate(s *pick.Picker, isolated ...string) {
	p, _ := engines(0)
	for _, name := range workspaces {
		p.Workspaces = append(p.Workspaces, plan.Workspace{Name: name, Isolated: slices.Contains(isolated, name)})
	}
	s.SetPlan(plan.New(*p, nil, nil))
}

func newState(n int) *pick.Picker {
	p, targets := engines(n)
	s := pick.New(pick.Options{DataCentre: "east", Seed: 1})
	s.SetPlan(p)
	s.SetTargets(targets)
	s.Announce(start, model, pick.AnnouncedVersion{Version: 1, Age: time.Hour})
	s.RestoreTimes(timing.Learned{Models: map[string]timing.Model{"lm": learned}})
	return s
}

// learned is the model of the engines in these tests: 80 ms, and 13 µs a token.
var learned = timing.Model{Base: 80 * time.Millisecond, PerToken: 13 * time.Microsecond, Samples: 10}

// longRequest returns a request whose leading prompt parts are shared with others.
func longRequest(sheet string) pick.Request {
	return pick.Request{
		Service: "lm", Idempotent: true, Objective: 500 * time.Millisecond, ObjectiveLeft: 500 * time.Millisecond, ClientTimeLeft: 5 * time.Second,
		Prompt: call.Prompt{Model: model, Tokens: 8800, MaxOutput: 13, Parts: []call.Part{
			{ID: "common", Tokens: 2500}, {ID: sheet, Tokens: 3800}, {ID: "own-" + sheet, Tokens: 2500},
		}},
	}
}

func mustDispatch(t *testing.T, s *pick.Picker, now time.Time, r pick.Request) pick.Dispatch {
	t.Helper()
	dispatch, ok := s.Choose(now, r).(pick.Dispatch)
	require.True(t, ok, "%#v", s.Choose(now, r))
	return dispatch
}

// serve runs a request to completion.
func serve(s *pick.Picker, now time.Time, r pick.Request, g pick.Dispatch) {
	run := s.Start(now, r, g)
	s.FirstToken(now.Add(100*time.Millisecond), run)
	s.Finish(now.Add(200*time.Millisecond), run, pick.Completed)
}

// Pattern: cache affinity. The engine that has computed a part gets the next
// request for it.
func TestRequestsFollowTheirParts(t *testing.T) {
	s := newState(9)
	for i := range 20 {
		sheet := fmt.Sprint("sheet-", i)
		now := start.Add(time.Duration(i) * 300 * time.Millisecond)
		first := mustDispatch(t, s, now, longRequest(sheet))
		serve(s, now, longRequest(sheet), first)
		again := mustDispatch(t, s, now.Add(250*time.Millisecond), longRequest(sheet))
		assert.Equal(t, first.Target.ID, again.Target.ID)
		assert.Equal(t, 8800, again.Cached)
	}
}

// TestDispatchNamesTheHolder guards against choices that can't be explained: a prompt that
// is computed again names the engine that holds its parts, and why it wasn't chosen.
func TestDispatchNamesTheHolder(t *testing.T) {
	s := newState(9)
	assert.Empty(t, mustDispatch(t, s, start, longRequest("sheet")).Holder, "nobody holds a new part")
	first := mustDispatch(t, s, start, longRequest("sheet"))
	serve(s, start, longRequest("sheet"), first)
	now := start.Add(time.Second)
	again := mustDispatch(t, s, now, longRequest("sheet"))
	assert.Equal(t, pick.Holder{Target: first.Target.ID, Tokens: 6300, Expected: again.Expected}, again.Holder)
	for i := range 60 {
		r := longRequest(fmt.Sprint("other-", i))
		s.Start(now, r, pick.Dispatch{Target: first.Target, Version: 1, Scope: first.Scope})
	}
	away := mustDispatch(t, s, now, longRequest("sheet"))
	assert.NotEqual(t, first.Target.ID, away.Target.ID)
	assert.Equal(t, first.Target.ID, away.Holder.Target)
	assert.True(t, away.Holder.Overloaded)
	assert.Greater(t, away.Holder.Expected, away.Expected)
}

// Pattern: rendezvous hashing. Nodes that haven't received each other's reports
// compute a new part on the same engine.
func TestNodesAgreeOnANewPart(t *testing.T) {
	agreed := 0
	for i := range 50 {
		a, b := newState(9), newState(9)
		r := longRequest(fmt.Sprint("sheet-", i))
		if mustDispatch(t, a, start, r).Target.ID == mustDispatch(t, b, start, r).Target.ID {
			agreed++
		}
	}
	assert.GreaterOrEqual(t, agreed, 45)
}

// Pattern: load shedding by backlog. Requests that can't be prefilled in time
// aren't accepted, so that the accepted ones are in time.
func TestBacklogIsBoundedUnderABurst(t *testing.T) {
	s := newState(4)
	taken, waiting := 0, 0
	for i := range 200 {
		switch v := s.Choose(start, longRequest(fmt.Sprint("sheet-", i))).(type) {
		case pick.Dispatch:
			s.Start(start, longRequest(fmt.Sprint("sheet-", i)), v)
			taken++
			assert.Less(t, v.Expected, 500*time.Millisecond)
		case pick.Wait:
			waiting++
		}
	}
	assert.Greater(t, taken, 8, "requests are accepted while engines have capacity")
	assert.Greater(t, waiting, 100)
}

// Pattern: starvation avoidance. A prompt larger than the objective allows is
// served when its engine is idle.
func TestLargePromptIsNotStarved(t *testing.T) {
	s := newState(2)
	r := longRequest("sheet")
	r.Prompt.Tokens = 60_000
	r.Prompt.Parts[2].Tokens = 53_700
	assert.IsType(t, pick.Dispatch{}, s.Choose(start, r))
}

// peer is a node that exchanges reports with this one directly.
var peer = oplog.Origin{Node: "peer"}

// Pattern: load reports. Load reported by other nodes counts.
func TestLoadOfOtherNodesCounts(t *testing.T) {
	s := newState(2)
	busy := pick.Report{Work: map[string]pick.Load{"e0": {Running: 10, Prefill: 60_000, Memory: 60_000}}}
	s.ApplyReport(start, peer, busy)
	assert.Equal(t, "e1", mustDispatch(t, s, start, longRequest("a")).Target.ID)
	assert.Equal(t, "e1", mustDispatch(t, s, start, longRequest("b")).Target.ID)
	s.ApplyReport(start.Add(time.Second), peer, pick.Report{})
	assert.Equal(t, 0, mustDispatch(t, s, start.Add(time.Second), longRequest("a")).Load.Prefill)
}

// Pattern: aggregation tree. A node sends to each of its children the load of all
// nodes but that child's own, and to other nodes its own load and its children's.
func TestReportsCountLoadOnce(t *testing.T) {
	s := newState(1)
	work := func(running int) pick.Report {
		return pick.Report{Work: map[string]pick.Load{"e0": {Running: running}}}
	}
	s.Start(start, longRequest("a"), mustDispatch(t, s, start, longRequest("a")))
	s.ApplyReport(start, oplog.Origin{Node: "child", Child: true}, work(10))
	s.ApplyReport(start, oplog.Origin{Node: "other child", Child: true}, work(100))
	s.ApplyReport(start, oplog.Origin{Node: "root"}, work(1000))
	tests := map[string]struct {
		to   oplog.Recipient
		want int
	}{
		"a child":        {oplog.Recipient{Node: "child", Child: true}, 1101},
		"a new child":    {oplog.Recipient{Node: "new", Child: true}, 1111},
		"another root":   {oplog.Recipient{Node: "root"}, 111},
		"its own parent": {oplog.Recipient{}, 111},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			report, _ := s.Report(start, test.to, 0)
			assert.Equal(t, test.want, report.Work["e0"].Running)
		})
	}
	s.DropPeer("other child")
	report, _ := s.Report(start, oplog.Recipient{}, 0)
	assert.Equal(t, 11, report.Work["e0"].Running, "a node that moved to another parent no longer counts")
	assert.Equal(t, 1011, s.Running(start, "e0"))
}

// Pattern: report suppression. The use of a part is reported at an interval, not
// with each request.
func TestPlacementReportsAreRateLimited(t *testing.T) {
	s := newState(2)
	reported := 0
	for i := range 40 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		serve(s, now, longRequest("sheet"), mustDispatch(t, s, now, longRequest("sheet")))
	}
	report, _ := s.Report(start, oplog.Recipient{}, 0)
	for _, p := range report.Parts {
		if p.Target == "e0" || p.Target == "e1" {
			reported++
		}
	}
	assert.LessOrEqual(t, reported, 10, "two parts, reported once a second for just over four seconds")
	assert.GreaterOrEqual(t, reported, 2)
}

func TestPeerReportsExpire(t *testing.T) {
	s := newState(1)
	s.ApplyReport(start, peer, pick.Report{Work: map[string]pick.Load{"e0": {Running: 5}}})
	assert.Equal(t, 5, s.Running(start.Add(time.Second), "e0"))
	s.Expire(start.Add(10 * time.Second))
	assert.Zero(t, s.Running(start.Add(10*time.Second), "e0"))
}

// Pattern: KV transfer. An engine that lacks a part copies it from the engine that
// computed it, once its prefill has completed.
func TestPartsAreFetchedNotReadAgain(t *testing.T) {
	s := newState(2)
	first := mustDispatch(t, s, start, longRequest("sheet"))
	run := s.Start(start, longRequest("sheet"), first)
	r := longRequest("sheet")
	r.Excluded = []string{first.Target.ID}
	assert.Empty(t, mustDispatch(t, s, start, r).FetchFrom, "a part can't be copied before its prefill has completed")
	s.FirstToken(start.Add(time.Second), run)
	second := mustDispatch(t, s, start.Add(time.Second), r)
	assert.Equal(t, first.Target.Address, second.FetchFrom)
	assert.Equal(t, 6300, second.Fetched)
}

func TestCachedPartsAreNotReusedAcross(t *testing.T) {
	tests := map[string]func(s *pick.Picker, r *pick.Request){
		"an isolated workspace":   func(_ *pick.Picker, r *pick.Request) { r.Workspace = "isolated" },
		"a workspace's isolation": func(s *pick.Picker, _ *pick.Request) { isolate(s, "isolated", "members") },
		"newer weights": func(s *pick.Picker, _ *pick.Request) {
			s.RecordVersion("e0", pick.ObservedVersion{Born: 1, Model: model, Version: 2})
		},
		"new instance": func(s *pick.Picker, _ *pick.Request) {
			_, targets := engines(1)
			next := targets["e0"]
			next.Born = 2
			s.SetTargets(map[string]roster.Target{"e0": next})
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			s := newState(1)
			isolate(s, "isolated")
			r := longRequest("sheet")
			r.Workspace = "sellers"
			before := mustDispatch(t, s, start, r)
			serve(s, start, r, before)
			change(s, &r)
			after := mustDispatch(t, s, start.Add(time.Second), r)
			assert.Zero(t, after.Cached)
			assert.Zero(t, after.Fetched)
			if name != "new instance" {
				assert.NotEqual(t, before.Scope, after.Scope)
			}
		})
	}
}

// Pattern: rolling update. Requests move to new weights as engines load them, and
// replaced weights stop answering after a bounded time.
func TestRollout(t *testing.T) {
	s := newState(3)
	s.Announce(start, model, pick.AnnouncedVersion{Version: 2})
	s.RecordVersion("e2", pick.ObservedVersion{Born: 1, Model: model, Version: 2})
	later := start.Add(2 * time.Second)
	assert.Equal(t, "e2", mustDispatch(t, s, later, longRequest("sheet")).Target.ID)
	assert.Equal(t, uint64(2), mustDispatch(t, s, later, longRequest("sheet")).Version)

	s.SetDraining(map[string]bool{"e2": true})
	assert.NotEqual(t, "e2", mustDispatch(t, s, later, longRequest("sheet")).Target.ID, "an engine that is about to load weights gets no new work")

	s.SetMaxReplacedAge(later, time.Second)
	assert.IsType(t, pick.Wait{}, s.Choose(later, longRequest("sheet")), "replaced weights must not answer")
	s.SetMaxReplacedAge(later, 0)
	assert.IsType(t, pick.Dispatch{}, s.Choose(later, longRequest("sheet")))
}

// TestFloorIsJudgedByEachNaming guards against measuring the age of replaced
// weights from the latest announcement when versions are announced faster than they
// are loaded.
func TestFloorIsJudgedByEachNaming(t *testing.T) {
	s := newState(1)
	s.Announce(start, model, pick.AnnouncedVersion{Version: 2})
	s.Announce(start.Add(9*time.Second), model, pick.AnnouncedVersion{Version: 3})
	s.SetMaxReplacedAge(start.Add(8*time.Second), 10*time.Second)
	assert.IsType(t, pick.Dispatch{}, s.Choose(start, longRequest("a")))
	s.SetMaxReplacedAge(start.Add(11*time.Second), 10*time.Second)
	assert.IsType(t, pick.Wait{}, s.Choose(start.Add(11*time.Second), longRequest("a")))
	s.RecordVersion("e0", pick.ObservedVersion{Born: 1, Model: model, Version: 2})
	assert.IsType(t, pick.Dispatch{}, s.Choose(start.Add(11*time.Second), longRequest("a")))
}

// TestRestartedNodeLearnsVersionAge checks that a node which has just started takes
// the announcement's age from a peer.
func TestRestartedNodeLearnsVersionAge(t *testing.T) {
	s := newState(1)
	s.Announce(start, model, pick.AnnouncedVersion{Version: 2})
	assert.False(t, s.Announce(start, model, pick.AnnouncedVersion{Version: 2, Age: 20 * time.Second}))
	s.SetMaxReplacedAge(start, 10*time.Second)
	assert.IsType(t, pick.Wait{}, s.Choose(start, longRequest("a")))
	assert.Equal(t, pick.AnnouncedVersion{Version: 2, Age: 20 * time.Second}, s.Announced(start, model)[1])
}

// TestGuessedAges guards against requests that every engine refuses, and replaced weights
// that answer too late: the larger age counts, but a guess doesn't beat an age that
// somebody saw.
func TestGuessedAges(t *testing.T) {
	announced := func(age time.Duration, guess bool) pick.AnnouncedVersion {
		return pick.AnnouncedVersion{Version: 2, Age: age, Guess: guess}
	}
	tests := map[string]struct{ first, second, want pick.AnnouncedVersion }{
		"older guess after a seen age":   {announced(time.Second, false), announced(4*time.Second, true), announced(time.Second, false)},
		"older guess after a guess":      {announced(time.Second, true), announced(4*time.Second, true), announced(4*time.Second, true)},
		"older seen age after a guess":   {announced(time.Second, true), announced(4*time.Second, false), announced(4*time.Second, false)},
		"younger seen age after a guess": {announced(4*time.Second, true), announced(time.Second, false), announced(4*time.Second, true)},
		"older seen age after another":   {announced(time.Second, false), announced(4*time.Second, false), announced(4*time.Second, false)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newState(1)
			s.Announce(start, model, test.first)
			s.Announce(start, model, test.second)
			assert.Equal(t, test.want, s.Announced(start, model)[1])
			assert.Equal(t, test.want, s.Newest(start)[model])
			s.Announce(start, model, pick.AnnouncedVersion{Version: 3})
			assert.Contains(t, s.Superseded(start, time.Minute)[model], test.want)
		})
	}
}

// Pattern: outlier ejection. A target that doesn't answer gets no request that
// could be lost; one that fails some requests gets fewer.
func TestFailingTargets(t *testing.T) {
	s := newState(2)
	r := longRequest("sheet")
	r.Excluded = []string{"e1"}
	s.Finish(start, s.Start(start, r, mustDispatch(t, s, start, r)), pick.Unreachable)
	r.Idempotent, r.Excluded = false, nil
	assert.Equal(t, "e1", mustDispatch(t, s, start, r).Target.ID)
	s.Finish(start, s.Start(start, r, mustDispatch(t, s, start, r)), pick.Unreachable)
	assert.IsType(t, pick.Wait{}, s.Choose(start, r), "both are suspect, but only for a short time")
	assert.IsType(t, pick.Dispatch{}, s.Choose(start.Add(10*time.Second), r))
}

func TestPlainTargets(t *testing.T) {
	p, _ := engines(0)
	s := pick.New(pick.Options{DataCentre: "east"})
	s.SetPlan(p)
	s.SetTargets(map[string]roster.Target{
		"near": {ID: "near", Service: "app", DataCentre: "east", Slots: 2},
		"far":  {ID: "far", Service: "app", DataCentre: "west", Slots: 2},
		"gone": {ID: "gone", Service: "app", DataCentre: "east", Slots: 2, Leaving: true},
	})
	r := pick.Request{Service: "app", Objective: 300 * time.Millisecond, ObjectiveLeft: 300 * time.Millisecond, ClientTimeLeft: time.Second}
	counts := map[string]int{}
	for range 12 {
		g := mustDispatch(t, s, start, r)
		counts[g.Target.ID]++
		s.Start(start, r, g)
	}
	assert.Equal(t, map[string]int{"near": 6, "far": 6}, counts, "load is balanced evenly, and the leaving target gets none")
	assert.IsType(t, pick.Wait{}, s.Choose(start, r), "full targets are expected to free a slot soon")
	assert.IsType(t, pick.Refuse{}, s.Choose(start, pick.Request{Service: "none"}))
	r.Excluded = []string{"near", "far"}
	assert.IsType(t, pick.Refuse{}, s.Choose(start, r), "all targets are excluded")
}

// Pattern: event-fed cache index. Events from a cache override the estimate of its
// contents.
func TestCacheEventsOverrideEstimates(t *testing.T) {
	s := newState(2)
	g := mustDispatch(t, s, start, longRequest("sheet"))
	serve(s, start, longRequest("sheet"), g)
	s.ApplyCacheEvents(g.Target.ID, []pick.CacheEvent{{Model: model, Scope: g.Scope, ID: "sheet", Tokens: 0}}, false)
	again := mustDispatch(t, s, start.Add(time.Second), longRequest("sheet"))
	assert.LessOrEqual(t, again.Cached+again.Fetched, 2500, "the evicted part is recomputed")

	other := newState(2)
	report, _ := s.Report(start, oplog.Recipient{}, 0)
	other.ApplyReport(start, peer, report)
	assert.LessOrEqual(t, mustDispatch(t, other, start, longRequest("sheet")).Cached, 2500, "the eviction is reported to other nodes")
}

// Pattern: warm start. After all nodes have restarted, the node that reads a
// cache's events reports all of its contents, since no node can determine yet which
// parts are shared. A node that restarts alone copies a peer's estimates.
func TestRestartedNodesRecoverCacheContents(t *testing.T) {
	scope := mustDispatch(t, newState(2), start, longRequest("sheet")).Scope
	events := []pick.CacheEvent{
		{Model: model, Scope: scope, ID: "common", Tokens: 2500}, {Model: model, Scope: scope, ID: "sheet", Tokens: 3800},
		{Model: model, Scope: scope, ID: "gone", Tokens: 3800}, {Model: model, Scope: scope, ID: "gone", Tokens: 0},
	}
	follower, other, late := newState(2), newState(2), newState(2)
	follower.ApplyCacheEvents("e1", events, true)
	report, _ := follower.Report(start, oplog.Recipient{}, 0)
	assert.Len(t, report.Parts, 2, "the evicted part is not reported")
	other.ApplyReport(start, peer, report)
	late.MergeParts(other.CachedParts())
	for name, s := range map[string]*pick.Picker{"follower": follower, "other": other, "late": late} {
		g := mustDispatch(t, s, start, longRequest("sheet"))
		assert.Equal(t, "e1", g.Target.ID, name)
		assert.Equal(t, 6300, g.Cached, name)
	}
}

func TestOnlyMostlySharedPromptsAreStored(t *testing.T) {
	s := newState(2)
	assert.Equal(t, "10.9.9.9:1", mustDispatch(t, s, start, longRequest("sheet")).SaveTo)
	r := longRequest("sheet")
	r.Prompt.Tokens += 20_000
	r.Prompt.Parts[2].Tokens += 20_000
	assert.Empty(t, mustDispatch(t, s, start, r).SaveTo, "a long private part would evict more than the prompt adds")
	serve(s, start, longRequest("sheet"), mustDispatch(t, s, start, longRequest("sheet")))
	s.ApplyCacheEvents("kept", []pick.CacheEvent{{Model: model, Scope: "w1", ID: "common", Tokens: 2500}, {Model: model, Scope: "w1", ID: "sheet", Tokens: 3800}}, false)
	s.ClearCache("e0")
	s.ClearCache("e1")
	g := mustDispatch(t, s, start.Add(time.Second), longRequest("sheet"))
	assert.Equal(t, "10.9.9.9:1", g.FetchFrom)
	assert.Equal(t, 6300, g.Fetched)
}

// Pattern: parts that are new everywhere, as after a load of weights. The node that reads
// the events of a cache may get that of a part before it knows that the part is shared;
// the other nodes must learn all the same that it can be copied.
func TestEarlyCacheEventsAreReported(t *testing.T) {
	for name, early := range map[string]bool{"event after the placement": false, "event before the placement": true} {
		t.Run(name, func(t *testing.T) {
			sender, reader, third := newState(2), newState(2), newState(2)
			r := longRequest("sheet")
			g := mustDispatch(t, sender, start, r)
			sender.Start(start, r, g)
			report, _ := sender.Report(start, oplog.Recipient{Node: "reader"}, 0)
			events := []pick.CacheEvent{
				{Model: model, Scope: g.Scope, ID: "common", Tokens: 2500}, {Model: model, Scope: g.Scope, ID: "sheet", Tokens: 3800},
				{Model: model, Scope: g.Scope, ID: "own-sheet", Tokens: 2500},
			}
			if early {
				reader.ApplyCacheEvents(g.Target.ID, events, false)
			}
			reader.ApplyReport(start, oplog.Origin{Node: "sender"}, report)
			if !early {
				reader.ApplyCacheEvents(g.Target.ID, events, false)
			}
			next, _ := reader.Report(start, oplog.Recipient{Node: "third"}, 0)
			third.ApplyReport(start, oplog.Origin{Node: "reader"}, next)
			r.Excluded = []string{g.Target.ID}
			other := mustDispatch(t, third, start.Add(time.Second), r)
			assert.Equal(t, g.Target.Address, other.FetchFrom)
			assert.Equal(t, 6300, other.Fetched)
		})
	}
}

// Pattern: working set larger than one store. The parts are divided among the stores,
// each part always to the same one, whichever host sends it.
func TestStoresShareTheParts(t *testing.T) {
	p, targets := engines(2)
	p.Stores = append(p.Stores, plan.Store{Name: "kept-2", Address: "10.9.9.10:1", DataCentre: "west", CacheTokens: 700_000, LinkMbps: 59_000})
	hosts := []*pick.Picker{pick.New(pick.Options{DataCentre: "east", Seed: 1}), pick.New(pick.Options{DataCentre: "west", Seed: 2})}
	for _, s := range hosts {
		s.SetPlan(p)
		s.SetTargets(targets)
	}
	counts := map[string]int{}
	for i := range 200 {
		r := longRequest(fmt.Sprint("sheet-", i))
		to := mustDispatch(t, hosts[0], start, r).SaveTo
		assert.Equal(t, to, mustDispatch(t, hosts[1], start, r).SaveTo)
		counts[to]++
	}
	assert.Len(t, counts, 2)
	for _, count := range counts {
		assert.InDelta(t, 100, count, 30)
	}
	for name, other := range map[string]string{"kept": "kept-2", "kept-2": "kept"} {
		s := hosts[0]
		s.ApplyCacheEvents(name, []pick.CacheEvent{{Model: model, Scope: "w1", ID: "common", Tokens: 2500}, {Model: model, Scope: "w1", ID: "sheet", Tokens: 3800}}, false)
		s.ClearCache(other)
		assert.Empty(t, mustDispatch(t, s, start, longRequest("sheet")).SaveTo, "a part that one store has is not saved to another")
		s.ClearCache(name)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{9, 140} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newState(n)
			for i := range 200 {
				r := longRequest(fmt.Sprint("sheet-", i))
				if g, ok := s.Choose(start, r).(pick.Dispatch); ok {
					serve(s, start, r, g)
				}
			}
			r := longRequest("sheet-7")
			b.ReportAllocs()
			for b.Loop() {
				s.Choose(start, r)
			}
		})
	}
}

func ExamplePicker_Choose() {
	s := pick.New(pick.Options{DataCentre: "east"})
	s.SetTargets(map[string]roster.Target{"a": {ID: "a", Service: "app", DataCentre: "east", Slots: 4}})
	r := pick.Request{Service: "app", ObjectiveLeft: time.Second, ClientTimeLeft: time.Second}
	if g, ok := s.Choose(time.Unix(100, 0), r).(pick.Dispatch); ok {
		fmt.Println(g.Target.ID)
	}
	// Output: a
}

// TestTargetsThatNeedAPause guards against requests that wait in vain for targets that
// take none for longer than the answer can wait, and against ones that are refused
// although another target takes them.
func TestTargetsThatNeedAPause(t *testing.T) {
	pause := func(d time.Duration) call.Needs { return call.Needs{Pause: d} }
	tests := map[string]struct {
		said map[string]call.Needs
		want pick.Decision
	}{
		"one pauses":               {map[string]call.Needs{"a": pause(time.Minute)}, pick.Dispatch{}},
		"all pause for a moment":   {map[string]call.Needs{"a": pause(50 * time.Millisecond), "b": pause(time.Minute)}, pick.Wait{}},
		"all pause for long":       {map[string]call.Needs{"a": pause(20 * time.Second), "b": pause(time.Minute)}, pick.Refuse{Firm: true}},
		"all have said they leave": {map[string]call.Needs{"a": {Leaving: true}, "b": {Leaving: true}}, pick.Refuse{}},
		"one leaves, one pauses":   {map[string]call.Needs{"a": {Leaving: true}, "b": pause(time.Minute)}, pick.Refuse{Firm: true}},
		"all have a low limit":     {map[string]call.Needs{"a": {Limited: true, Limit: 0.1}, "b": {Limited: true, Limit: 0.1}}, pick.Refuse{Firm: true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tracker := needs.New("host")
			s := pick.New(pick.Options{Seed: 1, Needs: tracker})
			s.SetTargets(map[string]roster.Target{"a": {ID: "a", Born: 1, Service: "app", Slots: 4}, "b": {ID: "b", Born: 1, Service: "app", Slots: 4}})
			for id, said := range test.said {
				tracker.Observe(start, start, needs.Instance{ID: id, Born: 1}, said)
			}
			got := s.Choose(start, pick.Request{Service: "app", Objective: time.Second, ObjectiveLeft: time.Second, ClientTimeLeft: 8 * time.Second})
			assert.IsType(t, test.want, got)
			if refused, ok := got.(pick.Refuse); ok {
				assert.Equal(t, test.want.(pick.Refuse).Firm, refused.Firm)
				assert.Positive(t, refused.RetryAfter)
			}
		})
	}
}
