package resume_test

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cicadamill/cicadamill/internal/entry/resume"
	"github.com/cicadamill/cicadamill/internal/route/job"
)

func TestParseReadsWhatWasAppended(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		point := resume.Position{
			WeightVersion: rapid.String().Draw(t, "version"),
			Digest:        rapid.Uint32().Draw(t, "digest"),
			Offset:        rapid.IntRange(0, 1<<30).Draw(t, "offset"),
		}
		id := strconv.AppendInt(point.AppendPrefix(nil), int64(point.Offset), 10)
		assert.NotContains(t, string(id), "\n")
		parsed, err := resume.Parse(string(id))
		require.NoError(t, err)
		assert.Equal(t, point, parsed)
	})
}

func TestParseRefuses(t *testing.T) {
	tests := map[string]string{
		"empty": "", "number": "17", "two parts": "1.2", "negative": "7.1f.-1", "huge": "7.1f.4294967296", "no digest": "7.xyz.1",
	}
	for name, id := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := resume.Parse(id)
			var parse *resume.ParseError
			assert.ErrorAs(t, err, &parse)
		})
	}
}

func TestDigestCoversWhatWasAsked(t *testing.T) {
	base := job.Job{Workspace: "a", Application: "p", Model: "m", Adapter: "x@1", Body: []byte(`{"a":1}`)}
	tests := map[string]func(*job.Job){
		"workspace":       func(j *job.Job) { j.Workspace = "b" },
		"adapter version": func(j *job.Job) { j.Adapter = "x@2" },
		"body":            func(j *job.Job) { j.Body = []byte(`{"a":2}`) },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			other := base
			change(&other)
			assert.NotEqual(t, resume.Digest(base), resume.Digest(other))
		})
	}
}

func ExamplePosition_AppendPrefix() {
	point := resume.Position{WeightVersion: "7", Digest: 0x1f3a9c2e}
	fmt.Println(string(strconv.AppendInt(point.AppendPrefix(nil), 17, 10)))
	// Output: 7.1f3a9c2e.17
}
