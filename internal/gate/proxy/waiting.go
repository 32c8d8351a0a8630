package proxy

import (
	"context"
	"math/bits"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cicadamill/cicadamill/internal/gate/oplog"
	"github.com/cicadamill/cicadamill/internal/gate/pick"
	"github.com/cicadamill/cicadamill/internal/gate/press"
	"github.com/cicadamill/cicadamill/internal/gate/queue"
)

const (
	// recheckInterval is how often waiting requests are offered again for conditions that
	// depend on time alone, such as the end of a target's back-off.
	recheckInterval = 50 * time.Millisecond
	// reportWakeInterval is the least time between two offers because of reports: the
	// parent of many hosts gets hundreds a second.
	reportWakeInterval = 25 * time.Millisecond
	// wakeShare bounds the share of time that offers because of reports or time take: with
	// thousands of engines, one choice of a target takes milliseconds.
	wakeShare = 0.02
	// idleObjectives is for how many times its objective a request waits while none is
	// started.
	idleObjectives = 4
	// startMargin is by how much the time that a request needs at a target is
	// overestimated to tell until when it can start.
	startMargin = 1.25
	// returnedShare is the share of the usual time left below which a request counts as
	// one whose client was rejected before. Clients that return at once stay above it.
	returnedShare = 0.85
	// sampleWeight is the weight of one request in the usual times of a route.
	sampleWeight = 0.05
)

// waiting are the requests that wait for a target. [Options.Lock] guards it.
type waiting struct {
	gate    *press.Gate
	queues  map[string]*queue.Queue
	waiters map[uint64]*waiter
	lastID  uint64
	routes  map[string]*usualTimes
	// pools are the pools of which work waits, by service.
	pools map[string]map[string]struct{}
	// armed is true while the next recheck is scheduled.
	armed bool
	// quietUntil is until when reports and time cause no offers.
	quietUntil time.Time
}

func newWaiting(seed uint64) waiting {
	return waiting{
		gate: press.New(seed), queues: map[string]*queue.Queue{}, waiters: map[uint64]*waiter{}, routes: map[string]*usualTimes{},
		pools: map[string]map[string]struct{}{},
	}
}

// usualTimes are moving averages of a route's requests.
type usualTimes struct {
	// left is the time that clients leave at arrival, need that from the start at a target
	// to the first token or the answer.
	left, need time.Duration
}

// waiter is a request in [Handler.choose].
type waiter struct {
	job     *job
	entry   queue.Entry
	entered time.Time
	need    time.Duration
	// offered is true once a target was sought, queued once none was found.
	offered, queued bool
	reason          string
	granted         chan grant
}

// grant is the end of a wait.
type grant struct {
	dispatch pick.Dispatch
	// held counts the request at its target until it is sent.
	held *pick.Run
	err  error
}

// queueRecord is what is logged of the waits of a request.
type queueRecord struct {
	entered bool
	waited  time.Duration
	basis   press.Basis
}

// choose selects a target. While none takes the request, it waits in the order of its
// service's queue, as long as it can still be answered.
func (h *Handler) choose(ctx context.Context, j *job) (pick.Dispatch, error) {
	w := h.enter(j)
	select {
	case g := <-w.granted:
		return h.leave(w, g)
	case <-ctx.Done():
	}
	h.options.Lock.Lock()
	removed := h.withdraw(w)
	h.options.Lock.Unlock()
	if removed {
		return h.leave(w, grant{err: ctx.Err()})
	}
	g := <-w.granted
	if g.err == nil {
		g.err = ctx.Err()
	}
	return h.leave(w, g)
}

// enter puts a request into the queue of its service and offers it at once. If no target
// takes it, the gate decides whether it may wait. One that may have run waits in any case:
// a stream that has begun isn't cut off for others.
func (h *Handler) enter(j *job) *waiter {
	h.options.Lock.Lock()
	defer h.options.Lock.Unlock()
	now, s := time.Now(), &h.waiting
	j.queue.entered, j.queue.basis.Level = true, queue.Ranks
	w := s.newWaiter(now, j)
	s.waiters[w.entry.ID] = w
	q, ok := s.queues[j.service.Name]
	if !ok {
		q = queue.New()
		s.queues[j.service.Name] = q
	}
	q.Push(now, w.entry)
	h.serveWaiting(now, j.service.Name)
	if s.waiters[w.entry.ID] == nil {
		return w
	}
	w.queued = true
	s.countArrival(now, w)
	h.arm()
	if j.ran > 0 {
		return w
	}
	h.decide(now, w)
	return w
}

// decide asks the gate whether a request may wait.
func (h *Handler) decide(now time.Time, w *waiter) {
	j, s := w.job, &h.waiting
	decision := s.gate.Decide(now, press.Request{
		Pool: w.entry.Pool, Rank: w.entry.Rank, Need: w.need, Objective: j.route.Objective,
		ObjectiveLeft: j.arrived.Add(j.route.Objective).Sub(now), TimeLeft: j.deadline.Sub(now),
	})
	switch d := decision.(type) {
	case press.Queue:
		j.queue.basis = d.Basis
	case press.Reject:
		j.queue.basis = d.Basis
		s.queues[j.service.Name].Remove(w.entry.ID)
		h.end(w, grant{err: refusal("busy", http.StatusServiceUnavailable, d.Reason, d.RetryAfter)})
		s.sync(now, j.service.Name)
	}
}

// newWaiter returns the entry of a request.
func (s *waiting) newWaiter(now time.Time, j *job) *waiter {
	usual, ok := s.routes[j.route.Name]
	if !ok {
		usual = &usualTimes{left: j.deadline.Sub(j.arrived)}
		s.routes[j.route.Name] = usual
	}
	left := j.deadline.Sub(j.arrived)
	returned := float64(left) < returnedShare*float64(usual.left)
	if j.sent == 0 {
		usual.left = average(usual.left, left)
	}
	s.lastID++
	w := &waiter{job: j, entered: now, need: usual.need, reason: "no target was free in time", granted: make(chan grant, 1)}
	margin := time.Duration(startMargin * float64(usual.need))
	tokens := tokensOf(j)
	pool := poolOf(j)
	group := j.route.Name + "\x00" + strconv.Itoa(bits.Len(uint(tokens)))
	if len(j.excluded) > 0 {
		excluded := slices.Sorted(slices.Values(j.excluded))
		group += "\x00" + strings.Join(excluded, "\x00")
	}
	w.entry = queue.Entry{
		ID: s.lastID, Rank: min(max(j.priority, 0), queue.Ranks-1), Workspace: j.workspace.Name, Pool: pool, Group: pool + "\x00" + group, Narrowed: len(j.excluded) > 0,
		Tokens: tokens, Returned: returned, StartBy: j.arrived.Add(j.route.Objective - margin), Deadline: j.deadline.Add(-max(usual.need, minTimeLeft) - responseMargin),
	}
	return w
}

// tokensOf returns the work of a request: its output and the part of its prompt that no
// other request shares.
func tokensOf(j *job) int {
	prompt := j.call.Prompt
	tokens := prompt.Tokens + prompt.MaxOutput
	for _, p := range prompt.Shared() {
		tokens -= p.Tokens
	}
	return max(tokens, 1)
}

// poolOf names the targets that may take a request.
func poolOf(j *job) string {
	if j.call.Prompt.Model == "" {
		return j.service.Name
	}
	return j.service.Name + "/" + j.call.Prompt.Model
}

func average(old, sample time.Duration) time.Duration {
	return old + time.Duration(float64(sample-old)*sampleWeight)
}

// serveWaiting offers the waiting requests of a service to its targets.
func (h *Handler) serveWaiting(now time.Time, service string) {
	s := &h.waiting
	q := s.queues[service]
	if q == nil || q.Len() == 0 {
		return
	}
	q.Serve(now, func(e queue.Entry) queue.Outcome { return h.offer(now, s.waiters[e.ID]) })
	s.sync(now, service)
}

// offer seeks a target for a request.
func (h *Handler) offer(now time.Time, w *waiter) queue.Outcome {
	j, s := w.job, &h.waiting
	if h.ended.Load() || h.stopping() && j.ran == 0 {
		h.end(w, grant{err: stopRefusal()})
		return queue.Ended
	}
	if j.ran == 0 && s.gate.Yields(now, w.entry.Pool, w.entry.Rank) {
		w.reason = "more urgent requests wait"
		return queue.Blocked
	}
	request := j.request(now)
	switch d := h.options.Picker.Choose(now, request).(type) {
	case pick.Dispatch:
		h.options.Picker.Take(now, d)
		s.countArrival(now, w)
		s.gate.Started(now, w.entry.Pool, w.entry.Rank, w.entry.Tokens)
		usual := s.routes[j.route.Name]
		usual.need = average(usual.need, d.Expected)
		g := grant{dispatch: d}
		if w.queued {
			g.held = h.options.Picker.Start(now, request, d)
		}
		h.end(w, g)
		return queue.Placed
	case pick.Refuse:
		h.end(w, grant{err: refusal("busy", http.StatusServiceUnavailable, d.Reason, h.refusalPause(j, d))})
		return queue.Ended
	case pick.Wait:
		w.reason = d.Reason
	}
	return queue.Blocked
}

// countArrival counts a request once a target was sought for it: before, its model may be
// one that no target has.
func (s *waiting) countArrival(now time.Time, w *waiter) {
	if !w.offered && w.job.sent == 0 {
		s.gate.Arrived(now, w.entry.Pool, w.entry.Rank, w.entry.Tokens)
	}
	w.offered = true
}

// end ends a wait.
func (h *Handler) end(w *waiter, g grant) {
	delete(h.waiting.waiters, w.entry.ID)
	w.granted <- g
}

// withdraw removes a request whose client left or whose time ended. It reports whether the
// request was waiting.
func (h *Handler) withdraw(w *waiter) bool {
	s := &h.waiting
	if s.waiters[w.entry.ID] == nil {
		return false
	}
	delete(s.waiters, w.entry.ID)
	service := w.job.service.Name
	s.queues[service].Remove(w.entry.ID)
	s.sync(time.Now(), service)
	return true
}

// leave returns the result of a wait.
func (h *Handler) leave(w *waiter, g grant) (pick.Dispatch, error) {
	waited := time.Since(w.entered)
	w.job.queue.waited += waited
	if g.held != nil {
		h.options.Lock.Lock()
		h.options.Picker.Finish(time.Now(), g.held, pick.Cancelled)
		h.options.Lock.Unlock()
	}
	h.meters.countWait(w.entry.Rank, waited, g.err)
	return g.dispatch, g.err
}

// sync passes the waiting work of a service to the gate.
func (s *waiting) sync(now time.Time, service string) {
	counts := s.queues[service].Waiting()
	known := s.pools[service]
	for pool := range known {
		if _, ok := counts[pool]; !ok {
			s.gate.SetWaiting(now, pool, [queue.Ranks]queue.Counts{})
			delete(known, pool)
		}
	}
	for pool, c := range counts {
		if known == nil {
			known = map[string]struct{}{}
			s.pools[service] = known
		}
		known[pool] = struct{}{}
		s.gate.SetWaiting(now, pool, c)
	}
}

// wake offers the waiting requests of a service, since capacity may have become available.
// Its caller holds the lock.
func (h *Handler) wake(now time.Time, service string) {
	if q := h.waiting.queues[service]; q != nil && q.Len() > 0 {
		q.Wake()
		h.serveWaiting(now, service)
	}
}

// wakeSparingly offers the waiting requests of all services, unless that was done shortly
// before.
func (h *Handler) wakeSparingly(now time.Time) {
	s := &h.waiting
	if len(s.waiters) == 0 || now.Before(s.quietUntil) {
		return
	}
	h.wakeAll(now)
	took := time.Since(now)
	s.quietUntil = now.Add(max(reportWakeInterval, time.Duration(float64(took)/wakeShare)))
}

// wakeAll offers the waiting requests of all services.
func (h *Handler) wakeAll(now time.Time) {
	for service := range h.waiting.queues {
		h.wake(now, service)
	}
}

// arm schedules the next recheck.
func (h *Handler) arm() {
	if h.waiting.armed {
		return
	}
	h.waiting.armed = true
	time.AfterFunc(recheckInterval, h.recheck)
}

// recheck offers all waiting requests again.
func (h *Handler) recheck() {
	h.options.Lock.Lock()
	defer h.options.Lock.Unlock()
	now := time.Now()
	h.waiting.armed = false
	for service, q := range h.waiting.queues {
		for _, e := range q.Refresh(now) {
			if w := h.waiting.waiters[e.ID]; w.job.ran == 0 {
				h.decide(now, w)
			}
		}
		for _, e := range q.Expire(now) {
			w := h.waiting.waiters[e.ID]
			h.end(w, grant{err: refusal("busy", http.StatusServiceUnavailable, w.reason, 0)})
		}
		h.refuseIdle(now, service)
		h.waiting.sync(now, service)
	}
	h.wakeSparingly(now)
	if len(h.waiting.waiters) > 0 {
		h.arm()
	}
}

// refuseIdle refuses the requests of a service that have waited for several times their
// objective, or half of their time, while no host starts any: without such requests
// nothing tells how long a wait is.
func (h *Handler) refuseIdle(now time.Time, service string) {
	s := &h.waiting
	for id, w := range s.waiters {
		if w.job.service.Name != service {
			continue
		}
		patience := min(idleObjectives*w.job.route.Objective, w.job.deadline.Sub(w.entered)/2)
		if now.Sub(w.entered) < patience || !s.gate.Stalled(now, w.entry.Pool) {
			continue
		}
		s.queues[service].Remove(id)
		h.end(w, grant{err: refusal("busy", http.StatusServiceUnavailable, w.reason, h.retryAfter(w.job))})
		s.sync(now, service)
	}
}

// TargetsChanged offers all waiting requests, since the list of targets or what is known
// of them has changed.
func (h *Handler) TargetsChanged() {
	h.options.Lock.Lock()
	defer h.options.Lock.Unlock()
	h.wakeAll(time.Now())
}

// Pressure returns the report of waiting work for a recipient. Its caller holds the lock.
func (h *Handler) Pressure(now time.Time, to oplog.Recipient) press.Report {
	return h.waiting.gate.Report(now, to)
}

// ApplyPressure applies another node's report of waiting work, and offers the waiting
// requests, since its report of load has been applied. Its caller holds the lock.
func (h *Handler) ApplyPressure(now time.Time, from oplog.Origin, report press.Report, counted bool) {
	if counted {
		h.waiting.gate.ApplyReport(now, from, report)
	}
	h.wakeSparingly(now)
}

// DropPressure removes the waiting work that a node reported. Its caller holds the lock.
func (h *Handler) DropPressure(now time.Time, node string) {
	h.waiting.gate.DropPeer(now, node)
}

// ExpirePressure drops outdated reports and updates the gauges. Its caller holds the lock.
func (h *Handler) ExpirePressure(now time.Time) {
	g := h.waiting.gate
	g.Expire(now)
	h.meters.gaugeWaits(h.waiting.queues, g.Level(now), g.Age(now))
}
