package auth_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/config/site"
	"github.com/cicadamill/cicadamill/internal/entry/auth"
)

func TestCacheFollowsTheConfiguration(t *testing.T) {
	var cache auth.Cache
	header := func(key string) http.Header { return http.Header{"Authorization": {"Bearer " + key}} }
	before := site.Config{Workspaces: []site.Workspace{{Name: "members", KeyHashes: []string{auth.Hash("old")}}}}
	after := site.Config{Workspaces: []site.Workspace{{Name: "members", KeyHashes: []string{auth.Hash("new")}}}}
	for _, config := range []site.Config{before, before, after, after, before} {
		want := config.Workspaces[0].KeyHashes[0]
		for _, key := range []string{"old", "new"} {
			_, ok := cache.Keys(config).Workspace(header(key))
			assert.Equal(t, auth.Hash(key) == want, ok)
		}
	}
	_, ok := cache.Keys(site.Config{}).Workspace(header("old"))
	assert.False(t, ok)
}

// BenchmarkWorkspace measures the lookup of a key among 2,600 workspaces.
func BenchmarkWorkspace(b *testing.B) {
	var cache auth.Cache
	var config site.Config
	for i := range 2600 {
		config.Workspaces = append(config.Workspaces, site.Workspace{KeyHashes: []string{auth.Hash(string(rune(i)))}})
	}
	header := http.Header{"Authorization": {"Bearer " + string(rune(7))}}
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := cache.Keys(config).Workspace(header); !ok {
			b.Fatal("not found")
		}
	}
}
