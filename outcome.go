package bramleytack

// Outcome is what is known about the execution of a request.
type Outcome uint8

// The outcomes of a request. The zero value is Unknown.
const (
	// Unknown means that the request may have run.
	Unknown Outcome = iota
	// NotRun means that no upstream executed any part of the request.
	NotRun
	// Ran means that an upstream executed the request.
	Ran
)

var outcomeNames = [...]string{"unknown", "notRun", "ran"}

// String returns the outcome's name in the system's own formats.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return outcomeNames[Unknown]
}

// ParseOutcome returns the outcome named s. Other names give Unknown, the
// outcome that guarantees nothing.
func ParseOutcome(s string) Outcome {
	for i, name := range outcomeNames {
		if name == s {
			return Outcome(i)
		}
	}
	return Unknown
}
