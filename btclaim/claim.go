package btclaim

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"unicode/utf8"

	"bramleytack"
)

// MaxKeyBytes bounds each part of a ClaimKey.
const MaxKeyBytes = 256

// ClaimKey identifies a call and its repeats. The caller chooses Key.
type ClaimKey struct {
	Workspace bramleytack.WorkspaceID `json:"workspace"`
	Service   string                  `json:"service"`
	Key       string                  `json:"key"`
}

// Shard returns the number of the shard that holds the key. It is the same in
// all processes.
func (k ClaimKey) Shard(count int) int {
	h := sha256.New()
	for _, part := range []string{string(k.Workspace), k.Service, k.Key} {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		h.Write([]byte(part))
	}
	return int(binary.BigEndian.Uint64(h.Sum(nil)) % uint64(count))
}

// validate rejects keys that are too long or not UTF-8. JSON replaces invalid
// bytes, so such a key would be read back from the store as another key.
func (k ClaimKey) validate() error {
	for _, part := range []string{string(k.Workspace), k.Service, k.Key} {
		if len(part) > MaxKeyBytes || !utf8.ValidString(part) {
			return bramleytack.NewError(bramleytack.CodeBadRequest, bramleytack.NotRun,
				"idempotency key is not UTF-8 or longer than %d bytes", MaxKeyBytes)
		}
	}
	return nil
}

// AttemptID identifies one successful begin of a key. A new one is drawn when
// a key is claimed again after notRun.
type AttemptID string

// DecisionKind is what to do with a call that carries an idempotency key.
type DecisionKind uint8

// The kinds of decisions. Only Run lets the call be dispatched.
const (
	// NoOutcome means that an earlier call may have run and that its outcome
	// is no longer expected.
	NoOutcome DecisionKind = iota
	// Run means that the key is now claimed for the call, which is to be
	// dispatched.
	Run
	// Replay means that an earlier call ran and that its response is kept.
	Replay
	// ResponseNotKept means that an earlier call ran and that its response is
	// not kept, because it was too long or missing or had an invalid header.
	ResponseNotKept
	// InProgress means that an earlier call has no outcome yet.
	InProgress
	// KeyReused means that the key belongs to a call with another body.
	KeyReused
)

var decisionNames = [...]string{"noOutcome", "run", "replay", "notKept", "inProgress", "keyReused"}

// String returns the kind's name, or "invalid" for an undefined kind.
func (k DecisionKind) String() string {
	if int(k) < len(decisionNames) {
		return decisionNames[k]
	}
	return "invalid"
}

// Decision is the result of Claims.Begin.
type Decision struct {
	Kind DecisionKind
	// Attempt is set for Run. Finish needs it.
	Attempt AttemptID
	// Status and Digest describe the earlier response for Replay and
	// ResponseNotKept. Digest is the SHA-256 hash of its body.
	Status int
	Digest [sha256.Size]byte
	// Response is the earlier response for Replay, otherwise nil.
	Response *bramleytack.Response
}

// Claims begins and finishes claims. Shard implements it in the daemon that owns
// the shard; btremote has a client of a remote owner.
type Claims interface {
	// Begin claims a key for a call. After an error the call must not be
	// dispatched.
	Begin(ctx context.Context, key ClaimKey, body bramleytack.Fingerprint, entry bramleytack.HostID, request bramleytack.RequestID) (Decision, error)
	// Finish records the outcome of an attempt. After NotRun the key can be
	// claimed again. Unknown records nothing. The response may be nil.
	Finish(ctx context.Context, key ClaimKey, attempt AttemptID, outcome bramleytack.Outcome, response *bramleytack.Response) error
}

// Router passes each claim on to the owner of its shard.
type Router struct {
	// Count is the number of shards. It must not change while the store holds
	// claims, since it determines the shard of a key.
	Count int
	// Owner returns the local shard or a client of the daemon that owns it.
	Owner func(shard int) (Claims, error)
}

// Begin implements Claims.
func (r *Router) Begin(ctx context.Context, key ClaimKey, body bramleytack.Fingerprint, entry bramleytack.HostID, request bramleytack.RequestID) (Decision, error) {
	c, err := r.Owner(key.Shard(r.Count))
	if err != nil {
		return Decision{}, err
	}
	return c.Begin(ctx, key, body, entry, request)
}

// Finish implements Claims.
func (r *Router) Finish(ctx context.Context, key ClaimKey, attempt AttemptID, outcome bramleytack.Outcome, response *bramleytack.Response) error {
	c, err := r.Owner(key.Shard(r.Count))
	if err != nil {
		return err
	}
	return c.Finish(ctx, key, attempt, outcome, response)
}
