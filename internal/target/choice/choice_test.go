package choice_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/config/site"
	"github.com/cicadamill/cicadamill/internal/target/choice"
)

func TestRank(t *testing.T) {
	now := time.Unix(100, 0)
	near, far := site.Target{Name: "near", Address: "1", DataCentre: "tema"}, site.Target{Name: "far", Address: "2", DataCentre: "kasoa"}
	near2 := site.Target{Name: "near2", Address: "3", DataCentre: "tema"}
	tests := map[string]struct {
		prepare func(*choice.Ranking)
		at      time.Time
		want    string
	}{
		"own data centre first":     {at: now, want: "near"},
		"fewest in flight first":    {prepare: func(r *choice.Ranking) { r.Begin("1") }, at: now, want: "near2"},
		"failed goes last":          {prepare: func(r *choice.Ranking) { r.Begin("1")(now, false); r.Begin("3")(now, false) }, at: now, want: "far"},
		"failure is forgotten":      {prepare: func(r *choice.Ranking) { r.Begin("1")(now, false); r.Begin("3")(now, false) }, at: now.Add(5 * time.Second), want: "near"},
		"success clears a failure":  {prepare: func(r *choice.Ranking) { r.Begin("1")(now, false); r.Begin("1")(now, true) }, at: now, want: "near"},
		"ended calls count no more": {prepare: func(r *choice.Ranking) { r.Begin("1")(now, true) }, at: now, want: "near"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ranking := choice.New("tema")
			if test.prepare != nil {
				test.prepare(ranking)
			}
			ranked := ranking.Rank(test.at, []site.Target{far, near, near2})
			assert.Equal(t, test.want, ranked[0].Name)
			assert.Len(t, ranked, 3)
		})
	}
	assert.Empty(t, choice.New("tema").Rank(now, nil))
}
