package examples_test

import (
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/config/local"
	"github.com/cicadamill/cicadamill/internal/config/site"
	"github.com/cicadamill/cicadamill/internal/entry/auth"
)

// TestDeployments checks that the sample files of each deployment are valid and
// consistent with each other.
func TestDeployments(t *testing.T) {
	tests := map[string]struct {
		dataCentres []string
		engines     map[string]int
	}{
		"ashaiman": {[]string{"tema", "ashaiman", "madina", "kasoa"}, map[string]int{"assistant": 9, "ordering": 4}},
		"kochi":    {[]string{"ekm-vyt", "ekm-wil", "ekm-kak"}, map[string]int{"assistant": 12, "claims": 3}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			source, err := os.ReadFile(filepath.Join(name, "configuration.jsonc"))
			require.NoError(t, err)
			config, err := site.Parse(source)
			require.NoError(t, err)
			assert.Equal(t, name, config.Site)
			assert.Equal(t, test.dataCentres, config.Regions[0].DataCentres)
			assert.NotNil(t, config.KVStore)
			assert.Len(t, config.Workspaces, 8)
			engines := map[string]int{}
			for _, application := range config.Applications {
				engines[application.Name] = len(application.Engines)
			}
			assert.Equal(t, test.engines, engines)
			source, err = os.ReadFile(filepath.Join(name, "node.jsonc"))
			require.NoError(t, err)
			settings, err := local.Parse(source)
			require.NoError(t, err)
			assert.Contains(t, test.dataCentres, settings.DataCentre)
		})
	}
}

// TestRotateKey checks which of the two keys each version accepts.
func TestRotateKey(t *testing.T) {
	bearer := func(key string) http.Header { return http.Header{"Authorization": {"Bearer " + key}} }
	for name, want := range map[string][2]bool{"1-old": {true, false}, "2-both": {true, true}, "3-new": {false, true}} {
		t.Run(name, func(t *testing.T) {
			source, err := os.ReadFile(filepath.Join("rotate-key", name+".jsonc"))
			require.NoError(t, err)
			config, err := site.Parse(source)
			require.NoError(t, err)
			for i, key := range []string{"sample-key-members", "sample-key-members-2"} {
				_, ok := auth.New(config).Workspace(bearer(key))
				assert.Equal(t, want[i], ok, key)
			}
		})
	}
}
