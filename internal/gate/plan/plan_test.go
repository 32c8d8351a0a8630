package plan_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/gate/plan"
)

func TestMatch(t *testing.T) {
	p := plan.New(plan.Plan{Version: 3}, []plan.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/"},
	}, nil)
	tests := map[string]struct{ host, path, want string }{
		"longest prefix":          {"a.example", "/x/y/z", "long"},
		"shorter prefix":          {"a.example", "/x/yy", "short"},
		"query is ignored":        {"a.example", "/x/q?p=/x/y/", "short"},
		"prefix ends with slash":  {"a.example", "/x", ""},
		"another host":            {"b.example", "/x/y/z", "other"},
		"host that has no routes": {"c.example", "/x/", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			route, ok := p.Match(test.host, test.path)
			assert.Equal(t, test.want, route.Name)
			assert.Equal(t, test.want != "", ok)
		})
	}
}

func TestSplitsFollowTheirWeights(t *testing.T) {
	route := plan.Route{Splits: []plan.Split{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[route.PickService(float64(i)/1000)]++
	}
	assert.Equal(t, map[string]int{"a": 900, "b": 100}, counts)
	assert.Empty(t, plan.Route{}.PickService(0.5))
}

func TestIdempotent(t *testing.T) {
	tests := map[string]struct {
		route plan.Route
		want  bool
	}{
		"repeatable":       {plan.Route{Kind: plan.Repeatable}, true},
		"once":             {plan.Route{Kind: plan.AtMostOnce}, false},
		"stream":           {plan.Route{Kind: plan.Stream}, false},
		"resumable stream": {plan.Route{Kind: plan.Stream, Resumable: true}, true},
		"once stays once":  {plan.Route{Kind: plan.AtMostOnce, Resumable: true}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { assert.Equal(t, test.want, test.route.Idempotent()) })
	}
}

func ExamplePlan_Workspace() {
	p := plan.New(plan.Plan{HasWorkspaces: true}, nil, map[string]plan.Workspace{"key-1": {Name: "members"}})
	w, ok := p.Workspace("key-1")
	fmt.Println(w.Name, ok)
	// Output: members true
}
