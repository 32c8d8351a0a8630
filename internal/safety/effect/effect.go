// Package effect defines the outcomes of a request sent to a target: answered,
// not run or unknown.
//
// All code between the connection to the target and the response to the client
// passes on one of these outcomes, so that "not run" is reported only if it is
// certain.
package effect

// Outcome states whether a target ran a request. It is one of [Answered],
// [NotRun] or [Unknown].
//
//	switch o := outcome.(type) {
//	case effect.Answered:
//	case effect.NotRun:
//		retry(o.Reason)
//	case effect.Unknown:
//		report(o.Reason)
//	}
type Outcome interface{ outcome() }

// Answered means that the target sent its complete answer.
type Answered struct{}

// NotRun means that the request certainly did not run: either no byte of it can
// have reached a target, or the target reported that it did not run.
type NotRun struct {
	// Reason is a short text for logs and callers.
	Reason string
}

// Unknown means that the request may have run, completely or in part.
type Unknown struct {
	// Reason is a short text for logs and callers.
	Reason string
}

func (Answered) outcome() {}
func (NotRun) outcome()   {}
func (Unknown) outcome()  {}

// Name returns the name of an outcome on the wire: "answered", "notRun" or
// "unknown". A nil outcome is unknown.
func Name(o Outcome) string {
	switch o.(type) {
	case Answered:
		return "answered"
	case NotRun:
		return "notRun"
	default:
		return "unknown"
	}
}

// Parse converts a name returned by [Name] into an outcome. Any other text gives
// [Unknown], which guarantees nothing.
func Parse(name, reason string) Outcome {
	switch name {
	case "answered":
		return Answered{}
	case "notRun":
		return NotRun{Reason: reason}
	default:
		return Unknown{Reason: reason}
	}
}
