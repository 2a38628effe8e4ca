// Package bttoken seals and opens generation tokens.
//
// A generation token lets a caller resume or cancel a generation at any entry
// daemon. It holds the upstream, its instance, the engine's stream, the attempt,
// the model and its version, and the request. Callers must not read or forge it,
// so it is encrypted and authenticated with AES-256-GCM. The workspace is
// associated data: a token of another workspace fails authentication exactly as
// a forged token does, and both give ErrUnknown.
//
// Each token is encrypted with a key of its own, derived by HMAC-SHA-256 from
// the signing key and a random salt. One AES-GCM key with random nonces is safe
// for about 2^32 messages, which the design size of 100,000 requests/s reaches
// within 12 hours.
//
// # Keys
//
// The signing keys are one object in the store, with at most two keys. A
// rotation appends a key and drops the oldest of two in one conditional update.
// The new key is used to seal only after ActivationDelay, when all daemons have
// loaded it. A rotation fails until every token of the key that it would drop
// has expired, so that each running generation can be resumed. A Keyring that
// opens a token with an unknown key id reads the object again, at most once per
// RefreshInterval.
//
// # Usage
//
//	keys := &bttoken.Keyring{Store: store, Timer: timers}
//	err := keys.Load(ctx)
//	go keys.Run(ctx)
//	token, err := keys.Seal(generation)
//	generation, err := keys.Open(ctx, token, workspace)
package bttoken
