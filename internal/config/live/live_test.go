package live_test

import (
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/config/live"
	"github.com/cicadamill/cicadamill/internal/config/site"
)

func TestVersionOnlyRises(t *testing.T) {
	applied := live.New()
	var group sync.WaitGroup
	for number := range uint64(64) {
		group.Go(func() {
			applied.Apply(number, []byte("{}"), site.Config{Site: fmt.Sprint(number)})
		})
	}
	group.Wait()
	assert.EqualValues(t, 63, applied.Version())
	assert.Equal(t, "63", applied.Config().Site)
	assert.False(t, applied.Apply(62, []byte("{}"), site.Config{}))
}

func TestVersionOnlyRisesWithoutTexts(t *testing.T) {
	applied := live.New()
	assert.True(t, applied.Apply(5, nil, site.Config{Site: "five"}))
	assert.False(t, applied.Apply(4, nil, site.Config{Site: "four"}))
	assert.False(t, applied.Apply(5, nil, site.Config{Site: "other five"}))
	assert.Equal(t, "five", applied.Config().Site)
}

func ExampleApplied_Apply() {
	applied := live.New()
	applied.Apply(2, []byte("{}"), site.Config{Site: "tema"})
	fmt.Println(applied.Apply(1, []byte("{}"), site.Config{Site: "older"}), applied.Config().Site)
	// Output: false tema
}
