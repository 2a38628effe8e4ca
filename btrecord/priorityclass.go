package btrecord

import "bramleytack"

// PriorityClass is a named priority that workspaces refer to.
type PriorityClass struct {
	Name     string
	Priority bramleytack.Priority
}

// PriorityClasses converts records of priority classes.
var PriorityClasses = Codec[PriorityClass]{
	kind: KindPriorityClass,
	name: func(p *PriorityClass) *string { return &p.Name },
	bind: func(b *binder, p *PriorityClass, _ int) {
		bindPriority(b, "priority", &p.Priority)
	},
}
