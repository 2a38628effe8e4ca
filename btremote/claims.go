package btremote

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net/http"
	"time"

	"bramleytack"
	"bramleytack/btclaim"
	"bramleytack/btpeer"
	"bramleytack/btview"
	"bramleytack/btwire"
)

const (
	// abandonTimeout bounds the abandoning of a claim whose begin got no answer.
	abandonTimeout = 5 * time.Second
	// finishTimeout bounds the wait for a remote owner before the outcome is
	// recorded here.
	finishTimeout = time.Second
	// maxSentAnswer is the largest answer in bytes that is sent to a remote
	// owner. It fits into a frame. Larger ones are recorded here.
	maxSentAnswer = 1 << 20
)

// Claims routes claims to the owners of their shards. Correctness does not
// depend on who commits a claim: the owner only gathers many of them into one
// write.
type Claims struct {
	Self   bramleytack.HostID
	Node   *btpeer.Node
	Cell   *btview.Cell
	Shards []*btclaim.Shard
}

// Register makes the daemon answer the claims of other entries.
func (c *Claims) Register(mux *btpeer.Mux) { btpeer.Handle(mux, c.handle) }

// Owner returns the claims of a shard, for btclaim.Router.
func (c *Claims) Owner(shard int) (btclaim.Claims, error) {
	// Upstream ids hold no slash, so the name of a shard never is one.
	owner, _ := c.Cell.Owner(bramleytack.UpstreamID(fmt.Sprintf("claim/%d", shard)))
	if owner == "" || owner == c.Self {
		return c.Shards[shard], nil
	}
	return &remoteShard{node: c.Node, owner: owner, local: c.Shards[shard]}, nil
}

func (c *Claims) handle(ctx context.Context, from bramleytack.HostID, m *btwire.ClaimRequest) (*btwire.ClaimReply, error) {
	key := btclaim.ClaimKey{Workspace: bramleytack.WorkspaceID(m.GetWorkspace()), Service: m.GetService(), Key: m.GetKey()}
	shard := c.Shards[key.Shard(len(c.Shards))]
	if m.GetPhase() == btwire.ClaimPhase_CLAIM_PHASE_FINISH {
		outcome := bramleytack.Ran
		if m.GetResult() == btwire.ClaimStatus_CLAIM_STATUS_NOT_RUN {
			outcome = bramleytack.NotRun
		}
		err := shard.Finish(ctx, key, btclaim.AttemptID(m.GetAttempt()), outcome, decodeAnswer(m.GetAnswer()))
		return &btwire.ClaimReply{}, err
	}
	fp, ok := decodeFingerprint(m.GetFingerprint())
	if !ok {
		return nil, bramleytack.NewError(bramleytack.CodeBadRequest, bramleytack.NotRun, "claim has no fingerprint")
	}
	d, err := shard.Begin(ctx, key, fp, from, bramleytack.RequestID(m.GetRequest()))
	if err != nil {
		return nil, err
	}
	return encodeDecision(d), nil
}

// remoteShard implements btclaim.Claims at another daemon.
type remoteShard struct {
	node  *btpeer.Node
	owner bramleytack.HostID
	local *btclaim.Shard
}

// Begin implements btclaim.Claims. Without an answer the call is not run and
// its claim is abandoned, if it came to be.
func (s *remoteShard) Begin(
	ctx context.Context, key btclaim.ClaimKey, body bramleytack.Fingerprint, entry bramleytack.HostID, request bramleytack.RequestID,
) (btclaim.Decision, error) {
	reply, err := btpeer.Call[btwire.ClaimRequest, btwire.ClaimReply](ctx, s.node, s.owner, &btwire.ClaimRequest{
		Phase: btwire.ClaimPhase_CLAIM_PHASE_BEGIN, Workspace: string(key.Workspace), Service: key.Service, Key: key.Key,
		Fingerprint: body[:], Entry: string(entry), Request: string(request),
	})
	if err == nil {
		return decodeDecision(reply), nil
	}
	e := bramleytack.AsError(err)
	if e.Outcome == bramleytack.NotRun && e.Code == bramleytack.CodeNoUpstream {
		// No byte reached the owner.
		return s.local.Begin(ctx, key, body, entry, request)
	}
	if e.Outcome != bramleytack.NotRun {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), abandonTimeout)
		defer cancel()
		_ = s.local.Abandon(ctx, key, entry, request)
	}
	return btclaim.Decision{}, e.WithOutcome(bramleytack.NotRun)
}

// Finish implements btclaim.Claims. Without an answer it records the outcome
// itself: the first outcome of an attempt stays.
func (s *remoteShard) Finish(
	ctx context.Context, key btclaim.ClaimKey, attempt btclaim.AttemptID, outcome bramleytack.Outcome, response *bramleytack.Response,
) error {
	if outcome == bramleytack.Unknown {
		return nil
	}
	if response != nil && len(response.Body) > maxSentAnswer {
		return s.local.Finish(ctx, key, attempt, outcome, response)
	}
	m := &btwire.ClaimRequest{
		Phase: btwire.ClaimPhase_CLAIM_PHASE_FINISH, Workspace: string(key.Workspace), Service: key.Service, Key: key.Key,
		Attempt: string(attempt), Result: btwire.ClaimStatus_CLAIM_STATUS_DONE, Answer: encodeAnswer(response),
	}
	if outcome == bramleytack.NotRun {
		m.Result = btwire.ClaimStatus_CLAIM_STATUS_NOT_RUN
	}
	remote, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	if _, err := btpeer.Call[btwire.ClaimRequest, btwire.ClaimReply](remote, s.node, s.owner, m); err == nil {
		return nil
	}
	return s.local.Finish(ctx, key, attempt, outcome, response)
}

var statusOfKind = map[btclaim.DecisionKind]btwire.ClaimStatus{
	btclaim.NoOutcome:       btwire.ClaimStatus_CLAIM_STATUS_NO_OUTCOME,
	btclaim.Run:             btwire.ClaimStatus_CLAIM_STATUS_GRANTED,
	btclaim.Replay:          btwire.ClaimStatus_CLAIM_STATUS_DONE,
	btclaim.ResponseNotKept: btwire.ClaimStatus_CLAIM_STATUS_DONE,
	btclaim.InProgress:      btwire.ClaimStatus_CLAIM_STATUS_CLAIMED,
	btclaim.KeyReused:       btwire.ClaimStatus_CLAIM_STATUS_KEY_REUSED,
}

func encodeDecision(d btclaim.Decision) *btwire.ClaimReply {
	m := &btwire.ClaimReply{Status: statusOfKind[d.Kind], Attempt: string(d.Attempt)}
	if d.Kind == btclaim.Replay || d.Kind == btclaim.ResponseNotKept {
		m.Answer = encodeAnswer(d.Response)
		if m.Answer == nil {
			m.Answer = &btwire.StoredAnswer{}
		}
		m.Answer.Status = int32(d.Status)
		m.Answer.Digest = d.Digest[:]
	}
	return m
}

// decodeDecision runs nothing on a status that it does not know.
func decodeDecision(m *btwire.ClaimReply) btclaim.Decision {
	d := btclaim.Decision{Kind: btclaim.NoOutcome, Attempt: btclaim.AttemptID(m.GetAttempt())}
	switch m.GetStatus() {
	case btwire.ClaimStatus_CLAIM_STATUS_GRANTED:
		d.Kind = btclaim.Run
	case btwire.ClaimStatus_CLAIM_STATUS_CLAIMED:
		d.Kind = btclaim.InProgress
	case btwire.ClaimStatus_CLAIM_STATUS_KEY_REUSED:
		d.Kind = btclaim.KeyReused
	case btwire.ClaimStatus_CLAIM_STATUS_DONE:
		d.Kind = btclaim.ResponseNotKept
		d.Status = int(m.GetAnswer().GetStatus())
		copy(d.Digest[:], m.GetAnswer().GetDigest())
		if d.Response = decodeAnswer(m.GetAnswer()); d.Response != nil {
			d.Kind = btclaim.Replay
		}
	}
	return d
}

func encodeAnswer(r *bramleytack.Response) *btwire.StoredAnswer {
	if r == nil {
		return nil
	}
	sum := sha256.Sum256(r.Body)
	m := &btwire.StoredAnswer{Status: int32(r.Status), Digest: sum[:], Body: r.Body, BodyKept: true}
	for name, values := range r.Header {
		m.Header = append(m.Header, &btwire.HeaderField{Name: name, Values: values})
	}
	return m
}

func decodeAnswer(m *btwire.StoredAnswer) *bramleytack.Response {
	if m == nil || !m.GetBodyKept() {
		return nil
	}
	r := &bramleytack.Response{Status: int(m.GetStatus()), Header: http.Header{}, Body: m.GetBody()}
	for _, f := range m.GetHeader() {
		r.Header[f.GetName()] = f.GetValues()
	}
	return r
}
