package btdump

import (
	"encoding/json"
	"maps"
	"net/http"
	"sync"
)

// Source returns the state of one part. It must be safe for concurrent use.
type Source func() any

// Registry holds the sources of a process. The zero value is empty and ready for
// use. It is safe for concurrent use.
type Registry struct {
	mu      sync.Mutex
	sources map[string]Source
}

// Add registers the source of a part and replaces an earlier one.
func (g *Registry) Add(part string, s Source) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sources == nil {
		g.sources = map[string]Source{}
	}
	g.sources[part] = s
}

// State returns the state of all parts by name if part is empty, otherwise only
// that of the named part. It is empty for an unknown name.
func (g *Registry) State(part string) map[string]any {
	g.mu.Lock()
	sources := maps.Clone(g.sources)
	g.mu.Unlock()
	state := map[string]any{}
	for name, s := range sources {
		if part == "" || part == name {
			state[name] = s()
		}
	}
	return state
}

// ServeHTTP responds with the state as JSON.
func (g *Registry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(g.State(r.URL.Query().Get("part")))
}
