// Package bttoken seals and opens generation tokens.
//
// A generation token lets its holder resume or cancel a generation at any
// entry. It names the upstream, its instance, the engine's stream, the attempt
// and the request. Callers must not read or forge it, so it is encrypted and
// authenticated with AES-256-GCM. The workspace is associated data: a token
// that is opened for another workspace fails authentication exactly as a
// forged token does, and both give ErrUnknown.
//
// Each token has a key of its own, derived by HMAC-SHA-256 from the signing
// key and a random salt. One AES-GCM key with random nonces is safe for about
// 2^32 messages, which the design size of 100,000 requests/s reaches within
// 12 hours.
//
// # Keys
//
// The signing keys are one object in the store, with at most two keys. A
// rotation appends a key and drops the oldest in one conditional update. The
// new key signs only after Activation, so that all daemons have loaded it by
// then. A rotation is refused until every token of the key that it drops has
// expired, so it cuts no stream. A Keyring that meets an unknown key id
// reads the object again, at most once per RefreshInterval.
//
// # Usage
//
//	keys := &bttoken.Keyring{Store: store, Timer: timers}
//	err := keys.Load(ctx)
//	go keys.Run(ctx)
//	token, err := keys.Seal(generation)
//	generation, err := keys.Open(ctx, token, workspace)
package bttoken
