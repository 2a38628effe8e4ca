package btadmin

import (
	"sync"

	"bramleytack"
)

// historySize is the number of object versions that are kept as bases.
const historySize = 512

// versionKey names one version of one object.
type versionKey struct {
	key     bramleytack.Key
	version bramleytack.Revision
}

// history keeps recent versions of objects, oldest first out.
type history struct {
	mu      sync.Mutex
	objects map[versionKey]bramleytack.Object
	order   []versionKey
}

func (h *history) add(o bramleytack.Object) {
	h.mu.Lock()
	defer h.mu.Unlock()
	k := versionKey{key: o.Key, version: o.Version}
	if _, ok := h.objects[k]; ok {
		return
	}
	if h.objects == nil {
		h.objects = map[versionKey]bramleytack.Object{}
	}
	if len(h.order) >= historySize {
		delete(h.objects, h.order[0])
		h.order = h.order[1:]
	}
	h.objects[k] = o
	h.order = append(h.order, k)
}

func (h *history) get(key bramleytack.Key, v bramleytack.Revision) (bramleytack.Object, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	o, ok := h.objects[versionKey{key: key, version: v}]
	return o, ok
}
