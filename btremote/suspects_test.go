package btremote

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/btquarantine"
)

// Guards against a second run of a suspect that another entry allows.
func TestSingleRun(t *testing.T) {
	withCell(t, 4, 1, nil, func(s *sim) {
		for n := range byte(20) {
			fp := bramleytack.Fingerprint{n}
			granted := 0
			for i, m := range s.members {
				if m.suspects.Arbitrate(s.t.Context(), fp, bramleytack.RequestID(fmt.Sprint(n, "/", i))) == nil {
					granted++
				}
			}
			assert.Equal(s.t, granted, 1, "fingerprint %d", n)
		}
	})
}

// Guards against a second run after the reply of the arbiter was lost.
func TestSingleRunWithLostReply(t *testing.T) {
	withCell(t, 4, 1, nil, func(s *sim) {
		fp := bramleytack.Fingerprint{1}
		arbiter := s.owner(bramleytack.UpstreamID("fingerprint/" + fp.String()))
		entry := s.members[(arbiter+1)%4]
		s.network.Block(s.members[arbiter].addr.Addr(), entry.addr.Addr(), true)
		assert.Assert(s.t, entry.suspects.Arbitrate(s.t.Context(), fp, "a") != nil)
		s.block(arbiter, false, false)
		time.Sleep(settleTime)
		granted := 0
		for i, m := range s.members {
			if m.suspects.Arbitrate(s.t.Context(), fp, bramleytack.RequestID(fmt.Sprint(i))) == nil {
				granted++
			}
		}
		assert.Assert(s.t, granted <= 1)
	})
}

// Guards against reports that do not reach all entries, and against lost or repeated
// ones that quarantine a request that caused no crash.
func TestReports(t *testing.T) {
	fp := bramleytack.Fingerprint{7}
	crash := btquarantine.Report{
		Kind: btquarantine.Crashed, Upstream: "u", Instance: "1", Fingerprints: []bramleytack.Fingerprint{fp},
	}
	for _, c := range []struct {
		name        string
		apply       func(s *sim)
		quarantined bool
	}{
		{"all members repeat the report of one crash", func(s *sim) {
			for _, m := range s.members {
				for range 3 {
					m.suspects.Notify(crash)
				}
			}
		}, false},
		{"crash of a request that ran alone reaches all", func(s *sim) {
			alone := crash
			alone.Alone = crash.Fingerprints
			s.members[0].suspects.Notify(alone)
		}, true},
		{"report of such a crash does not reach one member", func(s *sim) {
			s.block(1, true, true)
			alone := crash
			alone.Alone = crash.Fingerprints
			s.members[0].suspects.Notify(alone)
			time.Sleep(3 * time.Second)
			s.block(1, false, false)
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			withCell(t, 4, 1, nil, func(s *sim) {
				c.apply(s)
				time.Sleep(2 * settleTime)
				for _, m := range s.members {
					m.quarantine.Flush(s.t.Context())
				}
				time.Sleep(settleTime)
				for _, m := range s.members {
					assert.Equal(s.t, m.config.Snapshot().Quarantined[fp.String()], c.quarantined, "at %s", m.host)
				}
			})
		})
	}
}
