package btentry_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack/internal/standin/btworker"
)

// Guards against stages that do not tell a request that waits for an upstream from one that
// an upstream holds or answers.
func TestStagesOfRequests(t *testing.T) {
	for _, c := range []struct {
		name   string
		target string
		fault  btworker.Fault
		memory int
		want   string
	}{
		{"held by an upstream", "/order/1", btworker.Mute, 1 << 20, "sent"},
		{"answered", "/guide/1", btworker.Healthy, 1 << 20, "answering"},
		{"waits for memory", "/guide/1", btworker.Healthy, 1, "choosing"},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, func(h *harness) {
				h.memory = c.memory
				h.startEngine("e0")
				h.startShop("s0").Set(c.fault)
				header := map[string]string{dialect.TokenCounts: "3000,900"}
				go h.request(http.MethodPost, c.target, header, 5*time.Second)
				time.Sleep(500 * time.Millisecond)
				synctest.Wait()
				assert.DeepEqual(t, h.handler.Stages(), map[string]int{c.want: 1})
			})
		})
	}
}
