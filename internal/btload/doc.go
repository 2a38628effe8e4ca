// Package btload sends load to a deployment and checks what it gets.
//
// A stream is sent through btclient with a prompt that makes the simulated
// engine announce its request id. From the id, the prompt and the index a
// Verifier computes the text of each token, so that a token that is lost,
// repeated or taken from another generation is found. An order is a keyed call
// of a plain service. After a failure it is sent again with the same key at
// another entry; how often it was executed is read at the services.
//
// A Load is bounded in the number of requests, in the requests in flight and
// in time. Its Report counts outcomes and codes and holds the times to the
// first token and between tokens.
//
// # Usage
//
//	load := btload.Load{Entries: entries, Key: key, Timer: timers, Model: "crease-lm", Streams: 100, Tokens: 200}
//	report := load.Run(ctx)
//	if err := report.Err(); err != nil {
//		return err
//	}
package btload
