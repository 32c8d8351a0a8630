package logs_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cicadamill/cicadamill/internal/watch/logs"
)

func TestNew(t *testing.T) {
	tests := map[string]struct {
		options logs.Options
		want    string
	}{
		"text":    {options: logs.Options{Name: "node-1"}, want: "[INFO]  node-1: applied: version=7"},
		"json":    {options: logs.Options{Name: "node-1", Format: "json"}, want: `"version":7`},
		"silence": {options: logs.Options{Level: "error"}, want: ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			logger, err := logs.New(test.options, &out)
			require.NoError(t, err)
			logger.Info("applied", "version", 7)
			assert.Contains(t, out.String(), test.want)
			assert.Equal(t, test.want == "", out.Len() == 0)
		})
	}
}

func TestUnknownOption(t *testing.T) {
	for _, options := range []logs.Options{{Level: "loud"}, {Format: "xml"}} {
		_, err := logs.New(options, &bytes.Buffer{})
		var unknown *logs.OptionError
		assert.ErrorAs(t, err, &unknown)
	}
}
