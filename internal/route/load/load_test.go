package load_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/route/load"
	"github.com/cicadamill/cicadamill/internal/target/engine"
)

func at(seconds float64) time.Time { return time.Unix(100, 0).Add(time.Duration(seconds * 1e9)) }

func TestReportsAddOnlyTheWorkOfOthers(t *testing.T) {
	tests := map[string]struct {
		report engine.LoadReport
		want   int
	}{
		"own work alone":                      {engine.LoadReport{PrefillTokens: 5000, Running: 1, Age: 2 * time.Second}, 0},
		"own work finished before the report": {engine.LoadReport{Age: 2 * time.Second}, 0},
		"others' work":                        {engine.LoadReport{PrefillTokens: 9000, Running: 2, Age: 2 * time.Second}, 4000},
		"report from before the request":      {engine.LoadReport{PrefillTokens: 300, Running: 1, Age: 9 * time.Second}, 300},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := load.New(1)
			e.Start(at(0), 5000)
			e.FirstToken(at(3), 5000)
			e.Report(at(3), test.report)
			assert.Equal(t, test.want, e.Prefill(at(3)))
			assert.Less(t, e.Prefill(at(13)), test.want+1)
			assert.LessOrEqual(t, e.Prefill(at(23)), test.want/100, "the work in an old report should decay")
		})
	}
}

func TestWorkReturnsToZero(t *testing.T) {
	e := load.New(1)
	for i := range 100 {
		e.Start(at(float64(i)), i)
	}
	for i := range 100 {
		e.FirstToken(at(100+float64(i)), i)
		e.End(at(100 + float64(i)))
	}
	assert.Zero(t, e.OwnPrefill())
	assert.Zero(t, e.OwnCalls())
}

func TestBusyLimitsCallsAndRecovers(t *testing.T) {
	e := load.New(1)
	e.Start(at(0), 10)
	e.Start(at(0), 10)
	assert.False(t, e.Full(at(0), 0))
	e.LowerLimit(at(0))
	assert.True(t, e.Full(at(0), 0))
	assert.False(t, e.Full(at(0), 1))
	assert.False(t, e.Full(at(2), 0), "one more call should be allowed after the recovery time")
	e.Start(at(2), 10)
	assert.True(t, e.Full(at(2), 0))
}

func TestCallsThatWaitAtTheEngineLimitTheBatch(t *testing.T) {
	e := load.New(1)
	for range 12 {
		e.Start(at(0), 10)
	}
	e.Report(at(1), engine.LoadReport{Running: 10, Waiting: 2})
	assert.True(t, e.Full(at(1), 0))
	for range 3 {
		e.Report(at(1), engine.LoadReport{Running: 12})
	}
	assert.False(t, e.Full(at(1), 0), "the limit should grow while no calls wait")
}

func TestRateFollowsTheEngine(t *testing.T) {
	e := load.New(2)
	assert.InDelta(t, 25e-6, e.TokenTime(), 1e-9)
	for range 100 {
		e.ObservePrefill(10000, time.Second)
	}
	assert.InDelta(t, 100e-6, e.TokenTime(), 1e-6)
	e.ObservePrefill(10, time.Hour)
	assert.InDelta(t, 100e-6, e.TokenTime(), 1e-6, "a short prompt should not count")
	for range 100 {
		e.ObservePrefill(1000, time.Hour)
	}
	assert.LessOrEqual(t, e.TokenTime(), 8*25e-6)
}

func ExampleEngine_Wait() {
	e := load.New(1)
	e.Start(time.Unix(0, 0), 2000)
	fmt.Println(e.Wait(time.Unix(0, 0)))
	// Output: 100ms
}
