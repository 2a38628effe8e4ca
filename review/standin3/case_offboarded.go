package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["offboarded"] = offboardedCase }

// offboardedCase removes the only tenant of the configuration. Its key, and one that never was one, are
// used then.
func offboardedCase(b *bed) ([]string, error) {
	b.addDaemons(3)
	routes := []map[string]any{route("r-1", "/look/", "idempotent", "desk", 5000, 1500)}
	services := []map[string]any{service("desk")}
	b.store.put("config", "main", config(3, routes, services, []map[string]any{tenant("t-1", "key-1")}))
	for i := range 3 {
		w := &worker{bed: b, id: fmt.Sprintf("i-%d", i+1), service: "desk", zone: zones[i], slots: 24, work: 30 * time.Millisecond}
		if err := w.start(); err != nil {
			return nil, err
		}
	}
	if err := b.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(stableWindow + time.Second)
	ask := func(key string) (served int) {
		for range 4 {
			for _, d := range b.daemons {
				if r := b.send(d, attempt{method: http.MethodGet, path: "/look/x", key: key, deadline: 5 * time.Second}); r.status == http.StatusOK && r.sealed {
					served++
				}
			}
		}
		return served
	}
	if n := ask("key-1"); n != 12 {
		return nil, fmt.Errorf("%d of 12 requests with a key were served", n)
	}
	never := ask("key-9")
	if never > 0 {
		return nil, fmt.Errorf("%d requests with an unknown key were served before the change", never)
	}
	if !b.trouble {
		return nil, nil
	}
	b.store.put("config", "main", config(8, routes, services, []map[string]any{}))
	b.note("the store has acknowledged version 8 of the configuration, without the tenant")
	time.Sleep(configBound + stableWindow)
	var violations []string
	if n := ask("key-1"); n > 0 {
		violations = append(violations, fmt.Sprintf("CONFIG: %d of 12 requests with a removed key run %v after the acknowledgement", n, configBound+stableWindow))
	}
	if n := ask("key-9"); n > 0 {
		violations = append(violations, fmt.Sprintf("ROUTE: %d of 12 requests run with a key that no configuration ever held", n))
	}
	return violations, nil
}
