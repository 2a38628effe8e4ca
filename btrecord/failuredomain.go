package btrecord

import "bramleytack"

// FailureDomains converts records of failure domains.
var FailureDomains = Codec[bramleytack.FailureDomain]{
	kind: KindFailureDomain,
	name: func(d *bramleytack.FailureDomain) *string { return (*string)(&d.Name) },
	bind: func(b *binder, d *bramleytack.FailureDomain, _ int) {
		bindLabel(b, "region", &d.Region, required)
		bindEnum(b, "state", &d.State, optional, bramleytack.DomainActive, bramleytack.DomainOut)
	},
}
