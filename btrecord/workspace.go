package btrecord

import "bramleytack"

// maxWeight bounds weights, so that sums of them cannot overflow.
const maxWeight = 1_000_000

// Workspace is a workspace with the name of its priority class. The class is
// resolved against the other records when a snapshot is built.
type Workspace struct {
	bramleytack.Workspace
	// PriorityClass overrides Priority with the priority of a class.
	PriorityClass string
}

// Workspaces converts records of workspaces.
var Workspaces = Codec[Workspace]{
	kind: KindWorkspace,
	name: func(w *Workspace) *string { return (*string)(&w.Name) },
	bind: func(b *binder, w *Workspace, schema int) {
		b.list("keyHashes", &w.KeyHashes, ValidHash, hashRule)
		b.integer("weight", &w.Weight, between(0, maxWeight))
		bindPriority(b, "priority", &w.Priority)
		bindName(b, "priorityClass", &w.PriorityClass, optional)
		limits := b
		if schema >= groupedLimits {
			limits = b.group("limits")
		}
		limits.float("requestsPerSecond", &w.RequestsPerSecond, atLeast(0))
		limits.integer("concurrency", &w.Concurrency, atLeast(0))
	},
}

// groupedLimits is the first schema version with limits in a group.
const groupedLimits = 2

// bindPriority binds a priority by its name. The default is Standard.
func bindPriority(b *binder, name string, p *bramleytack.Priority) {
	standard := bramleytack.Standard.String()
	s := p.String()
	bindEnum(b, name, &s, optional, standard, bramleytack.Batch.String(), bramleytack.Interactive.String())
	if !b.write {
		*p, _ = bramleytack.ParsePriority(s)
	}
}
