package bramleytack

// Priority ranks requests that wait for the same capacity.
type Priority uint8

// The priorities, lowest first.
const (
	// Batch requests use capacity that no other requests need.
	Batch Priority = iota
	// Standard is the priority of requests that specify none.
	Standard
	// Interactive requests have a person waiting for the response.
	Interactive
)

// Priorities is the number of priorities.
const Priorities = int(Interactive) + 1

var priorityNames = [...]string{"batch", "standard", "interactive"}

// String returns the priority's name in the system's own formats.
func (p Priority) String() string {
	if int(p) < len(priorityNames) {
		return priorityNames[p]
	}
	return priorityNames[Standard]
}

// ParsePriority returns the priority named s, or Standard and false if there is
// none.
func ParsePriority(s string) (Priority, bool) {
	for i, name := range priorityNames {
		if name == s {
			return Priority(i), true
		}
	}
	return Standard, false
}
