package btrecord

import (
	"net/http"
	"slices"

	"bramleytack"
)

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete, http.MethodPost, http.MethodPatch,
}

// Services converts records of plain services.
var Services = Codec[bramleytack.ServiceRecord]{
	kind: KindService,
	name: func(s *bramleytack.ServiceRecord) *string { return &s.Name },
	bind: func(b *binder, s *bramleytack.ServiceRecord, _ int) {
		isMethod := func(m string) bool { return slices.Contains(methods, m) }
		b.list("idempotentMethods", &s.IdempotentMethods, isMethod, oneOf(methods...))
		b.duration("timeout", &s.Timeout)
	},
}
