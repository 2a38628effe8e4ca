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

// ClaimKey identifies a call across its repeats.
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

// validate refuses keys that do not survive a round trip through JSON, since
// they would be another key after the next load.
func (k ClaimKey) validate() error {
	for _, part := range []string{string(k.Workspace), k.Service, k.Key} {
		if len(part) > MaxKeyBytes || !utf8.ValidString(part) {
			return bramleytack.NewError(bramleytack.CodeBadRequest, bramleytack.NotRun,
				"idempotency key is not UTF-8 or longer than %d bytes", MaxKeyBytes)
		}
	}
	return nil
}

// AttemptID identifies one claim of a key.
type AttemptID string

// DecisionKind says what to do with a call.
type DecisionKind uint8

// The kinds of decisions. The zero value runs nothing.
const (
	// NoOutcome means that an earlier call may have run and that its outcome
	// will not become known.
	NoOutcome DecisionKind = iota
	// Run means that the caller holds the claim and must dispatch the call.
	Run
	// Replay means that the call ran and that its answer is kept.
	Replay
	// ResponseNotKept means that the call ran and that its answer was too long to keep.
	ResponseNotKept
	// InProgress means that an earlier call has no outcome yet.
	InProgress
	// KeyReused means that the key belongs to a call with another body.
	KeyReused
)

var decisionNames = [...]string{"noOutcome", "run", "replay", "notKept", "inProgress", "keyReused"}

// String returns the kind's name.
func (k DecisionKind) String() string {
	if int(k) < len(decisionNames) {
		return decisionNames[k]
	}
	return "invalid"
}

// Decision is the answer to a begin.
type Decision struct {
	Kind DecisionKind
	// Attempt identifies the claim that Run gives.
	Attempt AttemptID
	// Status and Digest describe the answer of Replay and NotKept. Digest is
	// the SHA-256 hash of its body.
	Status int
	Digest [sha256.Size]byte
	// Response is the answer of Replay.
	Response *bramleytack.Response
}

// Claims begins and finishes claims. A shard that this process owns and the
// remote owner of a shard both implement it.
type Claims interface {
	// Begin claims a key. An error means that the caller does not hold the
	// claim and must not dispatch the call.
	Begin(ctx context.Context, key ClaimKey, body bramleytack.Fingerprint, entry bramleytack.HostID, request bramleytack.RequestID) (Decision, error)
	// Finish records the outcome of an attempt. NotRun frees the key. Unknown
	// records nothing. The response may be nil.
	Finish(ctx context.Context, key ClaimKey, attempt AttemptID, outcome bramleytack.Outcome, response *bramleytack.Response) error
}

// Router passes each claim on to the owner of its shard.
type Router struct {
	// Count is the number of shards. It must not change while claims are kept.
	Count int
	// Owner returns the claims of a shard, local or over a peer link.
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
