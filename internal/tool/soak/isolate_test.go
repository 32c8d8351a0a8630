package soak_test

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/cicadamill/cicadamill/platform/fake"
)

// isolateKinds are steps that change the isolation of workspaces again and again, and that
// let hosts miss such changes, start after them, or let requests wait and be repeated.
var isolateKinds = []stepKind{
	isolate, isolate, isolate, isolate, isolate, isolate, killHost, killAllHosts, stopHost, pauseHost, silenceStore, dropStoreHistory, restoreStore,
	resetTarget, delayTarget, resetUnframedTarget, cutEventTarget, changeWeights, addRoute,
}

// TestSoakIsolation guards against requests that use parts of prompts of another workspace
// while one of the two is isolated.
func TestSoakIsolation(t *testing.T) {
	for _, seed := range []uint64{5102, 5103} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			runSoak(t, scenario{seed: seed, seconds: 12, hosts: 4, kinds: isolateKinds})
		})
	}
}

// TestSoakIsolationSeed runs the seed, seconds and hosts of the flags.
func TestSoakIsolationSeed(t *testing.T) {
	if *seed == 1 {
		t.Skip("needs -seed")
	}
	runSoak(t, scenario{seed: *seed, seconds: *seconds, hosts: *hostCount, kinds: isolateKinds})
}

// isolateStep isolates a workspace, or ends its isolation.
func (f *fleet) isolateStep(s step) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.config.Version++
	isolated := maps.Clone(f.config.Isolated)
	if isolated == nil {
		isolated = map[string]bool{}
	}
	workspace := fmt.Sprint("workspace", s.index%workspaceCount)
	isolated[workspace] = !isolated[workspace]
	f.config.Isolated = isolated
	change := configChange{kind: isolate, isolated: isolated, began: time.Now()}
	f.checker.addError(f.config.Write(f.store))
	change.at = time.Now()
	f.checker.addChange(change)
}

// isolatedSince returns since when a workspace has been isolated without interruption at a
// time; false if it isn't.
func isolatedSince(changes []configChange, workspace string, at time.Time) (time.Time, bool) {
	var since time.Time
	isolated := false
	for _, change := range changes {
		switch {
		case change.began.After(at):
			return since, isolated
		case !isolated && change.isolated[workspace]:
			since = change.at
		}
		isolated = change.isolated[workspace]
	}
	return since, isolated
}

// streamRuns returns the runs of streams in order of time.
func (c *checker) streamRuns() []fake.Run {
	var runs []fake.Run
	for _, all := range c.runs {
		for _, run := range all {
			if run.Parts != "" {
				runs = append(runs, run)
			}
		}
	}
	slices.SortFunc(runs, func(a, b fake.Run) int { return a.At.Compare(b.At) })
	return runs
}

// checkIsolation checks that no request uses parts of prompts of another workspace once one
// of the two has been isolated for [fake.ApplyTime]. It takes what was computed with a scope
// as cached at all engines for good.
func (c *checker) checkIsolation() (found []string) {
	changes := slices.DeleteFunc(slices.Clone(c.changes), func(change configChange) bool { return change.kind != isolate })
	if len(changes) == 0 {
		return nil
	}
	requests := map[string]record{}
	for _, r := range c.records {
		requests[r.id] = r
	}
	// computedFor are the workspaces that have run streams with a scope. All streams begin
	// with the same part.
	computedFor := map[string]map[string]bool{}
	shared, isolated := 0, 0
	for _, run := range c.streamRuns() {
		for other := range computedFor[run.Scope] {
			if other == run.Workspace {
				continue
			}
			shared++
			if problem := c.sharingProblem(changes, requests[run.ID], run, other); problem != "" {
				found = append(found, problem)
			}
		}
		if _, ok := isolatedSince(changes, run.Workspace, run.At); ok {
			isolated++
		}
		if computedFor[run.Scope] == nil {
			computedFor[run.Scope] = map[string]bool{}
		}
		computedFor[run.Scope][run.Workspace] = true
	}
	if isolated == 0 {
		found = append(found, "no workspace ran a stream while it was isolated")
	}
	c.notes = append(c.notes, fmt.Sprintf("%d changes of isolation, %d uses of another workspace's parts, %d runs of isolated workspaces", len(changes), shared, isolated))
	return found
}

// sharingProblem describes the use of a part that was computed for another workspace, if one
// of the two is isolated and the host must know that; else it is empty.
func (c *checker) sharingProblem(changes []configChange, r record, run fake.Run, other string) string {
	for _, workspace := range []string{run.Workspace, other} {
		since, isolated := isolatedSince(changes, workspace, run.At)
		known := run.At.Add(-fake.ApplyTime)
		if isolated && since.Before(known) && c.undisturbed(r.host, known, run.At) {
			return fmt.Sprintf("%s of %s, sent by %s, used a part of %s in scope %q, %v after %s was isolated", run.ID, run.Workspace, r.host, other, run.Scope, run.At.Sub(since), workspace)
		}
	}
	return ""
}
