package btstore

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against platform responses that crash the client or are decoded to
// objects without a name or version.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"kind":"k","name":"n","version":3,"changeId":"c","data":{"x":1}}`))
	f.Add([]byte(`{"revision":9,"objects":[{"kind":"k","name":"n","version":3}]}`))
	f.Add([]byte(`{"object":{"kind":"k","name":"n","version":3,"deleted":true}}`))
	f.Add([]byte(`{"heartbeat":true,"revision":3}`))
	f.Add([]byte(`{"at":"2026-01-02T03:04:05Z","hosts":[{"addr":"::1","leaving":true}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if o, err := decodeObject(data); err == nil {
			assert.Assert(t, o.Kind != "" && o.Name != "" && o.Version > 0)
		}
		if list, rev, err := decodeList(data, "k"); err == nil {
			for _, o := range list {
				assert.Assert(t, o.Kind == "k" && o.Version <= rev)
			}
		}
		if o, heartbeat, err := decodeEvent(data); err == nil && !heartbeat {
			assert.Assert(t, o.Kind != "" && o.Version > 0)
		}
		if v, err := decodeVersion(data); err == nil {
			assert.Assert(t, v > 0)
		}
		if l, err := decodeHosts(data); err == nil {
			for _, h := range l.Hosts {
				assert.Assert(t, h.Addr.IsValid())
			}
		}
	})
}
