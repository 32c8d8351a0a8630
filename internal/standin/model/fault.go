package model

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cicadamill/cicadamill/internal/target/engine"
)

// Fault is a fault to inject.
type Fault struct {
	// Kind is "crash", "cut" (abort all calls but keep running), "stall" (generate
	// no tokens), "slow" (take Factor times as long), "loseEvents" (drop cache
	// events), "leave" (refuse new calls) or "stay" (accept them again).
	Kind string `json:"kind"`
	// Millis is the duration of "stall", "slow" and "loseEvents".
	Millis int `json:"millis"`
	// Factor is the slowdown of "slow"; values below 1 count as 1.
	Factor float64 `json:"factor"`
}

// Inject injects a fault.
//
//	err := standin.Inject(model.Fault{Kind: "stall", Millis: 5000})
func (e *Engine) Inject(f Fault) error {
	if f.Kind == "crash" {
		e.Crash()
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	until := time.Now().Add(time.Duration(f.Millis) * time.Millisecond)
	switch f.Kind {
	case "cut":
		for _, c := range e.running {
			c.abort()
		}
	case "stall":
		e.stalledUntil = until
	case "slow":
		e.slowUntil, e.slowFactor = until, max(1, f.Factor)
	case "loseEvents":
		e.loseEventsUntil = until
	case "leave", "stay":
		e.leaving = f.Kind == "leave"
	default:
		return fmt.Errorf("no such fault: %q", f.Kind)
	}
	return nil
}

func (e *Engine) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		refuse(w, http.StatusBadRequest, engine.Invalid, err.Error())
		return
	}
	if err := e.Inject(f); err != nil {
		refuse(w, http.StatusBadRequest, engine.Invalid, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
