package sizing

import (
	"bytes"
	_ "embed" // for slopes.jsonc
	"encoding/json"
	"fmt"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"
)

//go:embed slopes.jsonc
var slopesFile []byte

// Slope is a measured cost per unit, such as nanoseconds per request.
type Slope struct {
	// Name identifies the slope, for example "keyLookup".
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	// Unit is the unit of the value, for example "ns/request".
	Unit string `json:"unit"`
	// Command repeats the measurement.
	Command string `json:"command"`
	// Range describes the conditions that the measurement covers.
	Range string `json:"range"`
	// Extrapolation describes how far a plan extrapolates beyond the measured range.
	Extrapolation string `json:"reach"`
}

// Slopes maps names to slopes.
type Slopes map[string]Slope

// MissingError means that a plan needs a slope that is not recorded.
type MissingError struct {
	// Name is the name of the missing slope.
	Name string
}

// Error implements the error interface.
func (e *MissingError) Error() string {
	return fmt.Sprintf("slope %q is not recorded", e.Name)
}

// RecordedSlopes parses and returns the slopes embedded in the binary.
func RecordedSlopes() (Slopes, error) {
	standard, err := hujson.Standardize(bytes.Clone(slopesFile))
	if err != nil {
		return nil, errors.Annotate(err, "parsing the recorded slopes")
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	var list []Slope
	if err := decoder.Decode(&list); err != nil {
		return nil, errors.Annotate(err, "parsing the recorded slopes")
	}
	slopes := Slopes{}
	for _, slope := range list {
		if _, twice := slopes[slope.Name]; twice {
			return nil, errors.Errorf("slope %q is recorded twice", slope.Name)
		}
		slopes[slope.Name] = slope
	}
	return slopes, nil
}
