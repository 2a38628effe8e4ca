// Package btclient is a client for callers.
//
// A client learns the entry addresses from any entry, keeps them for as long as
// the answer allows and connects there itself. A stream that breaks is resumed
// at another entry with its generation token and the next index, so the caller
// sees each token once and in order. A call is sent again only if the answer
// says that it has not run, or if it has an idempotency key.
//
// # Usage
//
//	c := &btclient.Client{Seeds: []netip.AddrPort{addr}, Key: key, Timer: timers}
//	result, err := c.Generate(ctx, btclient.Prompt{Model: "rota-llm", Text: "..."}, func(t bramleytack.Token) error {
//		_, err := os.Stdout.WriteString(t.Text)
//		return err
//	})
package btclient
