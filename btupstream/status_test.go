package btupstream

import (
	"testing"

	"gotest.tools/v3/assert"

	"bramleytack"
)

// noStatusLines are status lines that HTTP/1.1 does not have.
var noStatusLines = []rawResponse{"HTTP/1.1 000 X", "HTTP/1.1 001 X", "HTTP/1.1 099 X", "HTTP/1.1 +20 X", "HTTP/1.1 600 X", "HTTP/1.1 999 X", "HTTP/2.0 200 X", "HTTP/2.0 503 X"}

// An upstream answers with a status that is none. Guards against its body that counts as a
// response, and against another outcome than that of a request without a response.
func TestStatusThatIsNone(t *testing.T) {
	for _, line := range noStatusLines {
		t.Run(string(line), func(t *testing.T) {
			for _, body := range []rawResponse{"Content-Length: 15\r\n\r\n{\"notRun\":true}", "Content-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n" + echoedID + "Content-Length: 2\r\n\r\nok"} {
				u, requests := upstream(t, bramleytack.KindService, line+"\r\n"+echoedID+body)
				_, err := call(t, u)
				assertOutcome(t, err, bramleytack.Unknown)
				assert.Check(t, requests.Load() == 1, "%d requests", requests.Load())
				engine, _ := upstream(t, bramleytack.KindEngine, line+"\r\nContent-Type: text/event-stream\r\n"+body)
				n, err := countTokens(t, engine, Options{})
				assert.Check(t, n == 0)
				assertOutcome(t, err, bramleytack.Unknown)
				e, err := NewPool(Options{}).Engine(engine)
				assert.NilError(t, err)
				_, err = e.Load(t.Context())
				assert.Check(t, err != nil, "a load report was read")
				assert.Check(t, e.Command(t.Context(), bramleytack.Command{}) != nil, "a command was acknowledged")
			}
		})
	}
}
