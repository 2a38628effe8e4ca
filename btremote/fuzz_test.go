package btremote

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"bramleytack/btclaim"
	"bramleytack/btwire"
)

// Guards against messages of peers that crash a daemon, and against a reply with an
// unknown claim status that lets a call run.
func FuzzCodecs(f *testing.F) {
	seed, err := proto.Marshal(&btwire.ClaimReply{Status: btwire.ClaimStatus_CLAIM_STATUS_DONE, Answer: &btwire.StoredAnswer{BodyKept: true}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		now := time.Now()
		if m := (&btwire.Reserve{}); proto.Unmarshal(data, m) == nil {
			_ = decodeReservation(m, now)
		}
		if m := (&btwire.UpstreamDigest{}); proto.Unmarshal(data, m) == nil {
			_ = decodeDigest(m, now)
		}
		if m := (&btwire.Refusal{}); proto.Unmarshal(data, m) == nil {
			_ = decodeRefusal(m)
		}
		if m := (&btwire.ConfigObjects{}); proto.Unmarshal(data, m) == nil {
			_ = decodeObjects(m.GetObjects())
		}
		if m := (&btwire.QuarantineReport{}); proto.Unmarshal(data, m) == nil {
			_, _ = decodeReport(m)
		}
		m := &btwire.ClaimReply{}
		if proto.Unmarshal(data, m) != nil {
			return
		}
		run := decodeDecision(m).Kind == btclaim.Run
		if granted := m.GetStatus() == btwire.ClaimStatus_CLAIM_STATUS_GRANTED; run != granted {
			t.Fatalf("run %v on status %v", run, m.GetStatus())
		}
	})
}
