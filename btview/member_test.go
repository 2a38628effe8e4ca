package btview

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bramleytack"
)

// Guards against owners that start too early, or too late, after a change.
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
	entry := others[0]
	if entry == old {
		entry = others[1]
	}
	now := append([]Member{self}, others...)
	missing := func(hosts ...bramleytack.HostID) *acks {
		a := &acks{number: 2, missing: map[bramleytack.HostID]bool{}}
		for _, h := range hosts {
			a.missing[h] = true
		}
		return a
	}
	gone := missing(old.Host)
	gone.gone = map[bramleytack.HostID]bool{old.Host: true}
	table := []struct {
		name string
		prev Previous
		acks *acks
		age  time.Duration
		want Mode
	}{
		{"no word from the holder", Previous{Number: 1, Members: others}, nil, 0, Waiting},
		{"old owner missing", Previous{Number: 1, Members: others}, missing(old.Host), SettleDuration - 1, Waiting},
		{"old owner missing for long", Previous{Number: 1, Members: others}, missing(old.Host), SettleDuration, HalfWithheld},
		{"old owner missing for very long", Previous{Number: 1, Members: others}, missing(old.Host), WithholdDuration, Full},
		{"old owner gone from the host list", Previous{Number: 1, Members: others}, gone, SettleDuration, Full},
		{"the host list does not shorten the wait", Previous{Number: 1, Members: others}, gone, time.Second, Waiting},
		{"an entry missing", Previous{Number: 1, Members: others}, missing(entry.Host), time.Second, Waiting},
		{"an entry missing for long", Previous{Number: 1, Members: others}, missing(entry.Host), SettleDuration, Full},
		{"all acknowledged", Previous{Number: 1, Members: others}, missing(), 0, Full},
		{"expired view", Previous{Number: 1, Members: others, Expired: true}, missing(old.Host), 0, HalfWithheld},
		{"own earlier run", Previous{Number: 1, Members: list}, nil, time.Second, Waiting},
		{"own run", Previous{Number: 1, Members: now}, nil, 0, Full},
	}
	for _, row := range table {
		t.Run(row.name, func(t *testing.T) {
			start := time.Now()
			m := &member{self: self}
			m.install(start, &View{Number: 2, Members: now, Previous: []Previous{row.prev}})
			if row.acks != nil {
				m.acknowledged(*row.acks)
			}
			at := start.Add(row.age)
			m.confirm(at, 2)
			assert.Equal(t, m.mayGrant(at, id, m.lease(at)).Mode, row.want)
			assert.Equal(t, m.mayGrant(at, id, m.lease(at.Add(LeaseDuration))).Mode, Isolated)
		})
	}
}
