package site_test

import (
	"encoding/json"
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/config/jsonc"
	"github.com/cicadamill/cicadamill/internal/config/site"
)

// FuzzParse checks that Parse returns, for any text, either a configuration that
// round-trips through JSON or issues that each have a position.
func FuzzParse(f *testing.F) {
	f.Add([]byte(strings.ReplaceAll(validText, "HASH", hash)))
	for _, path := range []string{"../../../examples/ashaiman/configuration.jsonc", "../../../examples/kochi/configuration.jsonc"} {
		source, err := os.ReadFile(path)
		require.NoError(f, err)
		f.Add(source)
	}
	f.Fuzz(func(t *testing.T, source []byte) {
		config, err := site.Parse(source)
		if err != nil {
			requireIssues(t, err)
			return
		}
		encoded, err := json.Marshal(config)
		require.NoError(t, err)
		again, err := site.Parse(encoded)
		require.NoError(t, err)
		encodedAgain, err := json.Marshal(again)
		require.NoError(t, err)
		require.Equal(t, string(encoded), string(encodedAgain))
	})
}

func requireIssues(t *testing.T, err error) {
	t.Helper()
	var invalid *jsonc.Error
	require.True(t, errors.As(err, &invalid))
	require.NotEmpty(t, invalid.Issues)
	for _, issue := range invalid.Issues {
		require.Positive(t, issue.Line)
		require.Positive(t, issue.Column)
		require.NotEmpty(t, issue.Message)
	}
}
