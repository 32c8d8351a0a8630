package local_test

import (
	"errors"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/config/jsonc"
	"github.com/cicadamill/cicadamill/internal/config/local"
)

// FuzzParse checks that Parse returns, for any text, either settings or issues that
// each have a position.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validText))
	source, err := os.ReadFile("../../../examples/kochi/node.jsonc")
	require.NoError(f, err)
	f.Add(source)
	f.Fuzz(func(t *testing.T, source []byte) {
		settings, err := local.Parse(source)
		if err == nil {
			require.NotEmpty(t, settings.Name)
			require.NotEmpty(t, settings.CallerAddress)
			return
		}
		var invalid *jsonc.Error
		require.True(t, errors.As(err, &invalid))
		require.NotEmpty(t, invalid.Issues)
		for _, issue := range invalid.Issues {
			require.Positive(t, issue.Line)
			require.Positive(t, issue.Column)
		}
	})
}
