package plan_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/cicadamill/cicadamill/internal/gate/plan"
)

func ExamplePlan_CacheScope() {
	members, sellers := plan.Workspace{Name: "members"}, plan.Workspace{Name: "sellers"}
	before := plan.New(plan.Plan{Version: 1, Workspaces: []plan.Workspace{members, sellers}}, nil, nil)
	members.Isolated = true
	after := plan.New(plan.Plan{Version: 2, Workspaces: []plan.Workspace{members, sellers}}, nil, nil)
	fmt.Printf("%q %q\n", before.CacheScope("members"), before.CacheScope("sellers"))
	fmt.Printf("%q %q\n", after.CacheScope("members"), after.CacheScope("sellers"))
	// Output:
	// "" ""
	// "/members" "-bbd4d02ac89a71ebe90a4135ed63b05c"
}

// scopeNames are names that are easily taken for each other in a scope.
var scopeNames = []string{"a", "a ", "b", "a/b", "ab", "-", "/a", "%20", "é", ""}

// history are the configurations of a property test, with the workspaces that each lists
// and whether they are isolated.
type history struct {
	plans    []*plan.Plan
	isolated []map[string]bool
}

func drawHistory(t *rapid.T) history {
	var h history
	for version := range rapid.IntRange(1, 8).Draw(t, "versions") {
		p, isolated := plan.Plan{Version: uint64(version + 1)}, map[string]bool{}
		for _, name := range scopeNames {
			state := rapid.SampledFrom([]string{"absent", "shares", "isolated"}).Draw(t, name)
			if state == "absent" {
				continue
			}
			isolated[name] = state == "isolated"
			p.Workspaces = append(p.Workspaces, plan.Workspace{Name: name, Isolated: isolated[name]})
		}
		h.plans, h.isolated = append(h.plans, plan.New(p, nil, nil)), append(h.isolated, isolated)
	}
	return h
}

// sender is a workspace that sends a request to a host with a version of the configuration.
type sender struct {
	workspace string
	version   int
}

// scope returns the scope as an engine reads it from a header.
func (h history) scope(s sender) string {
	return strings.TrimSpace(h.plans[s.version].CacheScope(s.workspace))
}

// mayShare reports whether one may use parts of the other in both configurations.
func (h history) mayShare(a, b sender) bool {
	for _, version := range []int{a.version, b.version} {
		if a.workspace != b.workspace && (h.isolated[version][a.workspace] || h.isolated[version][b.workspace]) {
			return false
		}
	}
	return true
}

// TestScopesKeepIsolatedWorkspacesApart guards against parts of an isolated workspace in
// the scope of another one, whatever configurations came before, and whichever of them the
// host that computed a part knew.
func TestScopesKeepIsolatedWorkspacesApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		sent := map[string][]sender{}
		for n := range 60 {
			by := sender{rapid.SampledFrom(scopeNames).Draw(t, fmt.Sprint("workspace", n)), rapid.IntRange(0, len(h.plans)-1).Draw(t, fmt.Sprint("version", n))}
			scope := h.scope(by)
			for _, earlier := range sent[scope] {
				if !h.mayShare(earlier, by) {
					t.Fatalf("%+v uses a part of %+v in scope %q", by, earlier, scope)
				}
			}
			sent[scope] = append(sent[scope], by)
		}
	})
}

// TestWorkspacesShareAScope guards against scopes that separate workspaces for no reason.
func TestWorkspacesShareAScope(t *testing.T) {
	workspaces := func(isolated ...string) *plan.Plan {
		p := plan.Plan{Workspaces: []plan.Workspace{{Name: "members"}, {Name: "sellers"}}}
		for _, name := range isolated {
			p.Workspaces = append(p.Workspaces, plan.Workspace{Name: name, Isolated: true})
		}
		return plan.New(p, nil, nil)
	}
	assert.Equal(t, workspaces().CacheScope("members"), workspaces().CacheScope(""))
	p := workspaces("x", "y")
	assert.Equal(t, p.CacheScope("members"), p.CacheScope("sellers"))
	assert.Equal(t, p.CacheScope("members"), p.CacheScope(""), "requests without a workspace share")
	assert.Equal(t, p.CacheScope("members"), workspaces("y", "x").CacheScope("members"), "the order doesn't count")
	keyed := plan.New(plan.Plan{}, nil, map[string]plan.Workspace{"k1": {Name: "members"}, "k2": {Name: "x", Isolated: true}, "k3": {Name: "y", Isolated: true}})
	assert.Equal(t, p.CacheScope("members"), keyed.CacheScope("members"), "nor do the keys")
}
