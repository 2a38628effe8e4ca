package bramleytack

// Priority orders requests that wait for the same capacity.
type Priority uint8

// The priorities, lowest first.
const (
	// Batch work fills capacity that nothing else uses.
	Batch Priority = iota
	// Standard is the priority of requests that name none.
	Standard
	// Interactive work has a person waiting for it.
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

// ParsePriority returns the priority named s and whether there is one.
func ParsePriority(s string) (Priority, bool) {
	for i, name := range priorityNames {
		if name == s {
			return Priority(i), true
		}
	}
	return Standard, false
}
