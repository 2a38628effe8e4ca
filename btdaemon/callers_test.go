package btdaemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack/internal/btmemstore"
	"bramleytack/internal/node/btlistener"
)

// sendHead sends a part of a head and returns the answer to it.
func sendHead(t *testing.T, addr netip.AddrPort, text string) (net.Conn, *http.Response) {
	c, err := net.Dial("tcp", addr.String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(startTimeout)))
	// The daemon may close the connection before all is written.
	_, _ = io.WriteString(c, text)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.Check(t, err == nil, "%v", err)
	return c, resp
}

// Guards against ports of callers and operators whose heads are read before they are counted,
// and against heads that are refused in calm or that stay counted.
func TestHeadsAreCounted(t *testing.T) {
	d := startDaemon(t, btmemstore.New())
	waitFor(t, "readiness", d.Ready)
	for _, addr := range []netip.AddrPort{d.settings.Listen, d.settings.AdminListen} {
		line := "GET /healthz HTTP/1.1\r\nHost: h\r\n"
		_, resp := sendHead(t, addr, line+strings.Repeat("a:\r\n", 3500)+"\r\n")
		assert.Check(t, resp != nil && resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge)
		before := d.gate.Refused(btlistener.TooLarge)
		// As many bytes as the daemon reads, so that the answer is not lost by a reset.
		_, resp = sendHead(t, addr, line+"a: "+strings.Repeat("x", maxHead-len(line)-len("a: ")))
		assert.Check(t, resp != nil && resp.StatusCode == http.StatusRequestHeaderFieldsTooLarge)
		assert.Check(t, d.gate.Refused(btlistener.TooLarge) == before+1)
		for n := range 20 {
			c, err := net.Dial("tcp", addr.String())
			assert.NilError(t, err)
			defer c.Close()
			_, _ = fmt.Fprintf(c, "%s%s", line, strings.Repeat("a:\n", 20_000))
			assert.Check(t, d.gate.Memory.Kept() <= maxHeadMemory, "%d heads: %d bytes", n, d.gate.Memory.Kept())
		}
		waitFor(t, "a head without memory", func() bool { return d.gate.Refused(btlistener.NoMemory) > 0 })
		_, resp = sendHead(t, d.settings.AdminListen, line+"\r\n")
		assert.Check(t, resp != nil && resp.StatusCode == http.StatusNoContent)
	}
}
