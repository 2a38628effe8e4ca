package btrecord

import "bramleytack"

// Models converts records of models.
var Models = Codec[bramleytack.Model]{
	kind: KindModel,
	name: func(m *bramleytack.Model) *string { return &m.Name },
	bind: func(b *binder, m *bramleytack.Model, _ int) {
		bindLabel(b, "version", &m.Version, required)
		bindLabel(b, "adapter", &m.Adapter, optional)
		b.integer("maxTokens", &m.MaxTokens, atLeast(1))
		b.integer("replicas", &m.Replicas, atLeast(0))
		if m.MaxTokens == 0 && b.fields["maxTokens"] == nil {
			b.fail("maxTokens", "is missing", "a whole number from 1")
		}
	},
}
