package btentry

import (
	"net/http"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/bttimer"
	"bramleytack/internal/route/btaccount"
	"bramleytack/internal/route/btpace"
)

// Guards against load headers with fewer or more figures, or with others than numbers, that
// change the load or the pace.
func TestLoadHeaders(t *testing.T) {
	for value, want := range map[string]float64{
		"": 1, "1,2": 1, "1,2,24": 1, "1,2,24,": 1, "1,2,24,x": 1, "1,2,24,0": 1, "1,2,24,-5": 1, "1,2,24,NaN": 1,
		"1,2,24,120": 1.2, " 1, 2, 24, 55 ": 0.55, "1,2,24,120,7": 1.2, "1,2,24,1e300": 20,
	} {
		t.Run(value, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				timer := bttimer.New(1)
				defer timer.Close()
				h := &Handler{Accounts: &btaccount.Table{Timer: timer}, Paces: &btpace.Table{Timer: timer}, Timer: timer}
				h.Dialect.Load = "Load"
				u := &bramleytack.Upstream{ID: "e", Service: "engines"}
				(&activeRequest{h: h}).observeLoad(u, http.Header{"Load": {value}})
				assert.Equal(t, h.Paces.Lasting(u), want)
			})
		})
	}
}
