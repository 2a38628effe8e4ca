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
	// abandonTimeout bounds the abandoning of a claim whose begin got no reply.
	abandonTimeout = 5 * time.Second
	// finishTimeout bounds the wait for a remote owner, after which this daemon
	// records the outcome itself.
	finishTimeout = time.Second
	// maxRemoteResponseBytes is the largest response body that is sent to a remote
	// owner; it fits into a frame. For larger ones this daemon records the outcome
	// itself.
	maxRemoteResponseBytes = 1 << 20
)

// Claims routes claims to the owners of their shards. Any daemon may commit a claim
// safely: the owner only exists to batch many claims into one write.
type Claims struct {
	Self   bramleytack.HostID
	Node   *btpeer.Node
	Cell   *btview.Cell
	Shards []*btclaim.Shard
}

// Register registers the handler for claims of other entries.
func (c *Claims) Register(mux *btpeer.Mux) { btpeer.Handle(mux, c.handle) }

// Owner returns the claims of a shard, local or at another daemon, for
// btclaim.Router.
func (c *Claims) Owner(shard int) (btclaim.Claims, error) {
	// Upstream ids contain no slash, so this name is never that of an upstream.
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
		err := shard.Finish(ctx, key, btclaim.AttemptID(m.GetAttempt()), outcome, decodeResponse(m.GetAnswer()))
		return &btwire.ClaimReply{}, err
	}
	fp, ok := decodeFingerprint(m.GetFingerprint())
	if !ok {
		return nil, bramleytack.NewError(bramleytack.CodeBadRequest, bramleytack.NotRun, "claim has no valid fingerprint")
	}
	d, err := shard.Begin(ctx, key, fp, from, bramleytack.RequestID(m.GetRequest()))
	if err != nil {
		return nil, err
	}
	return encodeDecision(d), nil
}

// remoteShard implements btclaim.Claims for a shard that another daemon owns.
type remoteShard struct {
	node  *btpeer.Node
	owner bramleytack.HostID
	local *btclaim.Shard
}

// Begin implements btclaim.Claims. If no reply arrives, the call does not run, and
// the claim that the owner may have committed is abandoned.
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
		// No byte was sent to the owner, so this daemon can begin the claim.
		return s.local.Begin(ctx, key, body, entry, request)
	}
	if e.Outcome != bramleytack.NotRun {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), abandonTimeout)
		defer cancel()
		_ = s.local.Abandon(ctx, key, entry, request)
	}
	return btclaim.Decision{}, e.WithOutcome(bramleytack.NotRun)
}

// Finish implements btclaim.Claims. If no reply arrives, this daemon records the
// outcome itself. That is safe, since the first outcome of an attempt is kept.
func (s *remoteShard) Finish(
	ctx context.Context, key btclaim.ClaimKey, attempt btclaim.AttemptID, outcome bramleytack.Outcome, response *bramleytack.Response,
) error {
	if outcome == bramleytack.Unknown {
		return nil
	}
	if response != nil && len(response.Body) > maxRemoteResponseBytes {
		return s.local.Finish(ctx, key, attempt, outcome, response)
	}
	m := &btwire.ClaimRequest{
		Phase: btwire.ClaimPhase_CLAIM_PHASE_FINISH, Workspace: string(key.Workspace), Service: key.Service, Key: key.Key,
		Attempt: string(attempt), Result: btwire.ClaimStatus_CLAIM_STATUS_DONE, Answer: encodeResponse(response),
	}
	if outcome == bramleytack.NotRun {
		m.Result = btwire.ClaimStatus_CLAIM_STATUS_NOT_RUN
	}
	callCtx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	if _, err := btpeer.Call[btwire.ClaimRequest, btwire.ClaimReply](callCtx, s.node, s.owner, m); err == nil {
		return nil
	}
	return s.local.Finish(ctx, key, attempt, outcome, response)
}

var claimStatuses = map[btclaim.DecisionKind]btwire.ClaimStatus{
	btclaim.NoOutcome:       btwire.ClaimStatus_CLAIM_STATUS_NO_OUTCOME,
	btclaim.Run:             btwire.ClaimStatus_CLAIM_STATUS_GRANTED,
	btclaim.Replay:          btwire.ClaimStatus_CLAIM_STATUS_DONE,
	btclaim.ResponseNotKept: btwire.ClaimStatus_CLAIM_STATUS_DONE,
	btclaim.InProgress:      btwire.ClaimStatus_CLAIM_STATUS_CLAIMED,
	btclaim.KeyReused:       btwire.ClaimStatus_CLAIM_STATUS_KEY_REUSED,
}

func encodeDecision(d btclaim.Decision) *btwire.ClaimReply {
	m := &btwire.ClaimReply{Status: claimStatuses[d.Kind], Attempt: string(d.Attempt)}
	if d.Kind == btclaim.Replay || d.Kind == btclaim.ResponseNotKept {
		m.Answer = encodeResponse(d.Response)
		if m.Answer == nil {
			m.Answer = &btwire.StoredAnswer{}
		}
		m.Answer.Status = int32(d.Status)
		m.Answer.Digest = d.Digest[:]
	}
	return m
}

// decodeDecision decodes a status that it does not know as NoOutcome, so that the
// call does not run.
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
		if d.Response = decodeResponse(m.GetAnswer()); d.Response != nil {
			d.Kind = btclaim.Replay
		}
	}
	return d
}

func encodeResponse(r *bramleytack.Response) *btwire.StoredAnswer {
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

func decodeResponse(m *btwire.StoredAnswer) *bramleytack.Response {
	if m == nil || !m.GetBodyKept() {
		return nil
	}
	r := &bramleytack.Response{Status: int(m.GetStatus()), Header: http.Header{}, Body: m.GetBody()}
	for _, f := range m.GetHeader() {
		r.Header[f.GetName()] = f.GetValues()
	}
	return r
}
