package btowner

import (
	"cmp"
	"slices"
	"time"

	"bramleytack"
)

// Digest returns the upstream's state at now, which entry daemons route by.
func (u *Upstream) Digest(now time.Time) bramleytack.UpstreamDigest {
	return bramleytack.UpstreamDigest{
		Upstream: u.record.ID,
		Instance: u.ramp.Instance(),
		At:       now,
		Running:  u.Running(),
		Limit:    u.limit(now),
		Level:    u.ramp.Level(),
		Warm:     u.ramp.Warm(),
		Memory:   u.memoryShare(),
		Leaving:  u.outOfService || u.report.Leaving || u.record.State == bramleytack.UpstreamLeaving,
		Models:   u.report.Models,
	}
}

// ReservationDump is a reservation in a state dump.
type ReservationDump struct {
	Grant      bramleytack.GrantID   `json:"grant"`
	Entry      bramleytack.HostID    `json:"entry"`
	Request    bramleytack.RequestID `json:"request"`
	Priority   string                `json:"priority"`
	Granted    time.Time             `json:"granted"`
	ValidUntil time.Time             `json:"validUntil"`
	Deadline   time.Time             `json:"deadline"`
	Produced   int                   `json:"produced"`
	Suspect    bool                  `json:"suspect,omitempty"`
	EntryGone  bool                  `json:"entryGone,omitempty"`
}

// UpstreamDump is an upstream in a state dump.
type UpstreamDump struct {
	Upstream    bramleytack.UpstreamID `json:"upstream"`
	Instance    bramleytack.InstanceID `json:"instance"`
	Mode        string                 `json:"mode"`
	Level       int                    `json:"level"`
	Limit       int                    `json:"limit"`
	ResetReason string                 `json:"resetReason"`
	ResetAt     time.Time              `json:"resetAt"`
	Running     int                    `json:"running"`
	Foreign     int                    `json:"foreign"`
	MemoryShare float64                `json:"memoryShare"`
	ReportAt    time.Time              `json:"reportAt"`
	Held        []ReservationDump      `json:"held"`
}

// Dump returns the upstream's state with its reservations, oldest first.
func (u *Upstream) Dump() UpstreamDump {
	reason, at := u.ramp.Reason()
	d := UpstreamDump{
		Upstream:    u.record.ID,
		Instance:    u.ramp.Instance(),
		Mode:        u.ramp.Mode().String(),
		Level:       u.ramp.Level(),
		Limit:       u.ramp.Limit(),
		ResetReason: reason.String(),
		ResetAt:     at,
		Running:     u.Running(),
		Foreign:     u.foreign,
		MemoryShare: u.memoryShare(),
		ReportAt:    u.reportAt,
	}
	for _, res := range u.held {
		d.Held = append(d.Held, ReservationDump{
			Grant:      res.Grant,
			Entry:      res.Entry,
			Request:    res.Request,
			Priority:   res.Priority.String(),
			Granted:    res.grantedAt,
			ValidUntil: res.validUntil,
			Deadline:   res.Deadline,
			Produced:   res.produced,
			Suspect:    res.Suspect,
			EntryGone:  res.entryGone,
		})
	}
	slices.SortFunc(d.Held, func(a, b ReservationDump) int {
		return cmp.Or(a.Granted.Compare(b.Granted), cmp.Compare(a.Grant, b.Grant))
	})
	return d
}
