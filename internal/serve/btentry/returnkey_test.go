package btentry

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"bramleytack"
)

// Load: more than can be served, by callers without an API key who ask for the same. Guards
// against a caller that gets the place of another one who was told to come back, and against one
// that is not recognized on its next connection.
func TestCallersWithoutKeyAreToldApart(t *testing.T) {
	key := func(workspace bramleytack.WorkspaceID, caller string) uint32 {
		req := &activeRequest{h: &Handler{}, workspace: workspace, caller: caller, method: http.MethodPost, target: "/a", body: []byte("x")}
		return uint32(req.returnKey())
	}
	assert.Equal(t, key("", "10.0.0.1:1000"), key("", "10.0.0.1:2000"))
	assert.Assert(t, key("", "10.0.0.1:1000") != key("", "10.0.0.2:1000"))
	assert.Equal(t, key("w", "10.0.0.1:1000"), key("w", "10.0.0.2:1000"))
}
