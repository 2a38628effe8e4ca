package btview

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
)

// Guards against a new owner that grants too early or too late after a change of
// the view.
func TestMayGrant(t *testing.T) {
	const id bramleytack.UpstreamID = "u"
	list := members(3)
	o, _ := owner(list, id)
	self := o
	self.Incarnation = 2
	var others []Member
	for _, m := range list {
		if m.Host != self.Host {
			others = append(others, m)
		}
	}
	old, _ := owner(others, id)
	nonOwner := others[0]
	if nonOwner == old {
		nonOwner = others[1]
	}
	current := append([]Member{self}, others...)
	acksWithout := func(hosts ...bramleytack.HostID) *ackStatus {
		a := &ackStatus{number: 2, missing: map[bramleytack.HostID]bool{}}
		for _, h := range hosts {
			a.missing[h] = true
		}
		return a
	}
	oldGone := acksWithout(old.Host)
	oldGone.gone = map[bramleytack.HostID]bool{old.Host: true}
	table := []struct {
		name string
		prev Previous
		acks *ackStatus
		age  time.Duration
		want Mode
	}{
		{"no acknowledgements from the holder yet", Previous{Number: 1, Members: others}, nil, 0, Waiting},
		{"the old owner has not acknowledged", Previous{Number: 1, Members: others}, acksWithout(old.Host), AckTimeout - 1, Waiting},
		{"the old owner has not acknowledged within AckTimeout", Previous{Number: 1, Members: others}, acksWithout(old.Host), AckTimeout, HalfWithheld},
		{"the old owner has not acknowledged within WithholdDuration", Previous{Number: 1, Members: others}, acksWithout(old.Host), WithholdDuration, Full},
		{"the old owner is not in the host list", Previous{Number: 1, Members: others}, oldGone, AckTimeout, Full},
		{"the host list does not shorten the wait", Previous{Number: 1, Members: others}, oldGone, time.Second, Waiting},
		{"another member has not acknowledged", Previous{Number: 1, Members: others}, acksWithout(nonOwner.Host), time.Second, Waiting},
		{"another member has not acknowledged within AckTimeout", Previous{Number: 1, Members: others}, acksWithout(nonOwner.Host), AckTimeout, Full},
		{"all acknowledged", Previous{Number: 1, Members: others}, acksWithout(), 0, Full},
		{"the earlier view has expired", Previous{Number: 1, Members: others, Expired: true}, acksWithout(old.Host), 0, HalfWithheld},
		{"the old owner is an earlier incarnation of this daemon", Previous{Number: 1, Members: list}, nil, time.Second, Waiting},
		{"the old owner is this incarnation", Previous{Number: 1, Members: current}, nil, 0, Full},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			start := time.Now()
			m := &memberState{self: self}
			m.install(start, &View{Number: 2, Members: current, Previous: []Previous{row.prev}})
			if row.acks != nil {
				m.setAcks(*row.acks)
			}
			at := start.Add(row.age)
			m.confirm(at, 2)
			assert.Equal(t, m.mayGrant(at, id, m.leaseRemaining(at)).Mode, row.want)
			assert.Equal(t, m.mayGrant(at, id, m.leaseRemaining(at.Add(LeaseDuration))).Mode, Isolated)
		})
	}
}
