package server

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/config/live"
	"github.com/cicadamill/cicadamill/internal/config/site"
)

func TestDialerFollowsTheConfiguration(t *testing.T) {
	applied := live.New()
	d := newDialer(applied, &http.Client{})
	apply := func(version uint64, engines ...site.Engine) {
		applied.Apply(version, nil, site.Config{Engines: engines})
	}
	_, ok := d.find("e1")
	assert.False(t, ok)
	apply(1, site.Engine{Name: "e1", Address: "10.0.0.1:80"}, site.Engine{Name: "e2", Address: "10.0.0.2:80"})
	first, ok := d.find("e1")
	assert.True(t, ok)
	_, _ = d.find("e2")
	apply(2, site.Engine{Name: "e1", Address: "10.0.0.1:80"}, site.Engine{Name: "e3", Address: "10.0.0.3:80"})
	again, _ := d.find("e1")
	assert.Same(t, first, again, "the client of an unchanged engine is reused")
	_, ok = d.find("e2")
	assert.False(t, ok)
	assert.Len(t, d.clients, 1, "clients of removed engines are dropped")
	apply(3, site.Engine{Name: "e1", Address: "10.0.0.9:80"})
	moved, _ := d.find("e1")
	assert.NotSame(t, first, moved)
	apply(4)
	_, ok = d.find("e1")
	assert.False(t, ok)
	assert.Empty(t, d.clients)
}

// BenchmarkDial looks up one engine among 11,000.
func BenchmarkDial(b *testing.B) {
	applied := live.New()
	var config site.Config
	for i := range 11000 {
		config.Engines = append(config.Engines, site.Engine{Name: fmt.Sprint("engine-", i), Address: fmt.Sprint("10.0.0.1:", i)})
	}
	applied.Apply(1, nil, config)
	d := newDialer(applied, &http.Client{})
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := d.find("engine-10999"); !ok {
			b.Fatal("not found")
		}
	}
}
