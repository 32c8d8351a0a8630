package effect_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/cicadamill/cicadamill/internal/safety/effect"
)

func TestParse(t *testing.T) {
	tests := map[string]struct {
		name string
		want effect.Outcome
	}{
		"answered":          {name: "answered", want: effect.Answered{}},
		"not run":           {name: "notRun", want: effect.NotRun{Reason: "r"}},
		"unknown":           {name: "unknown", want: effect.Unknown{Reason: "r"}},
		"unrecognised name": {name: "NOTRUN", want: effect.Unknown{Reason: "r"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.want, effect.Parse(test.name, "r"))
		})
	}
}

func ExampleName() {
	fmt.Println(effect.Name(effect.NotRun{Reason: "engine busy"}))
	fmt.Println(effect.Name(nil))
	// Output:
	// notRun
	// unknown
}
