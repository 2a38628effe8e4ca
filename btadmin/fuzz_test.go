package btadmin

import (
	"context"
	"crypto/sha256"
	"net/http/httptest"
	"strings"
	"testing"

	"bramleytack/btconfig"
	"bramleytack/internal/btmemstore"
)

// Guards against admin bodies that crash the handler or get an answer of 500.
func FuzzBody(f *testing.F) {
	f.Add(`{"kind":"failureDomain","schemaVersion":2,"name":"qld-a","spec":{"region":"qld"}}`)
	f.Add(`{"kind":"x"}`)
	h := &Handler{
		KeyHashes: [][sha256.Size]byte{sha256.Sum256([]byte("secret"))}, Status: func(context.Context) any { return nil },
	}
	f.Fuzz(func(t *testing.T, body string) {
		own := *h
		own.Admin = &Admin{Store: btmemstore.New(), Config: btconfig.New()}
		r := httptest.NewRequest("PUT", "/admin/v1/records/failureDomain/qld-a", strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer secret")
		r.Header.Set("If-Match", "0")
		w := httptest.NewRecorder()
		own.Mux().ServeHTTP(w, r)
		if w.Code >= 500 {
			t.Fatalf("status %d: %s", w.Code, w.Body)
		}
	})
}
