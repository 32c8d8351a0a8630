package auth_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/config/site"
	"github.com/cicadamill/cicadamill/internal/entry/auth"
)

func TestWorkspace(t *testing.T) {
	keys := auth.New(site.Config{Workspaces: []site.Workspace{
		{Name: "members", KeyHashes: []string{auth.Hash("old"), auth.Hash("new")}},
	}})
	tests := map[string]struct {
		header string
		want   string
	}{
		"first key":    {header: "Bearer old", want: "members"},
		"second key":   {header: "bearer new", want: "members"},
		"wrong key":    {header: "Bearer other"},
		"no scheme":    {header: "old"},
		"other scheme": {header: "Basic old"},
		"nothing":      {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			workspace, ok := keys.Workspace(http.Header{"Authorization": {test.header}})
			assert.Equal(t, test.want != "", ok)
			assert.Equal(t, test.want, workspace.Name)
		})
	}
}
