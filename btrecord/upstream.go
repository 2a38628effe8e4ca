package btrecord

import "bramleytack"

// Upstreams converts records of upstreams.
var Upstreams = Codec[bramleytack.Upstream]{
	kind: KindUpstream,
	name: func(u *bramleytack.Upstream) *string { return (*string)(&u.ID) },
	bind: bindUpstream,
}

func bindUpstream(b *binder, u *bramleytack.Upstream, schema int) {
	bindEnum(b, "kind", &u.Kind, required, bramleytack.KindEngine, bramleytack.KindService)
	b.addrPort("addr", &u.Addr)
	bindName(b, "failureDomain", &u.FailureDomain, required)
	bindName(b, "cell", &u.Cell, optional)
	bindName(b, "service", &u.Service, optional)
	b.list("models", &u.Models, ValidName, nameRule)
	bindEnum(b, "state", &u.State, optional, bramleytack.UpstreamActive, bramleytack.UpstreamLeaving)
	b.boolean("checksFence", &u.ChecksFence)
	limits, cold, warm := b, "coldLimit", "warmLimit"
	if schema >= groupedLimits {
		limits, cold, warm = b.group("limits"), "cold", "warm"
	}
	limits.integer(cold, &u.ColdLimit, atLeast(1))
	limits.integer(warm, &u.WarmLimit, atLeast(1))
	limits.integer("memoryTokens", &u.MemoryTokens, atLeast(0))
	if b.write {
		return
	}
	defaultLimits(u)
	if u.WarmLimit < u.ColdLimit {
		limits.fail(warm, "is less than the cold limit", "at least the cold limit")
	}
	checkUpstreamKind(b, u)
}

// defaultLimits fills in limits that the record does not give. A cold
// upstream is assumed to bear one request.
func defaultLimits(u *bramleytack.Upstream) {
	u.ColdLimit = max(u.ColdLimit, 1)
	if u.WarmLimit == 0 {
		u.WarmLimit = u.ColdLimit
	}
}

func checkUpstreamKind(b *binder, u *bramleytack.Upstream) {
	switch u.Kind {
	case bramleytack.KindEngine:
		if u.Service != "" {
			b.fail("service", "does not apply to an engine", "no value")
		}
	case bramleytack.KindService:
		if u.Service == "" {
			b.fail("service", "is missing", "the name of a service")
		}
		if len(u.Models) > 0 {
			b.fail("models", "does not apply to a service", "no value")
		}
	}
}
