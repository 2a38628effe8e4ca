package btowner

import (
	"cmp"
	"slices"
	"time"

	"bramleytack"
)

// Digest is what an owner tells entries of an upstream, for routing.
type Digest struct {
	Upstream bramleytack.UpstreamID
	Instance bramleytack.InstanceID
	// At is the time of the digest. It includes all reservations up to it.
	At      time.Time
	Running int
	// Limit is the concurrency allowed now, Level the one that was earned.
	Limit int
	Level int
	Warm  bool
	// Memory is the forecast peak as a share of the memory.
	Memory  float64
	Leaving bool
	Models  []bramleytack.LoadedModel
}

// Digest returns the upstream's digest.
func (u *Upstream) Digest(now time.Time) Digest {
	return Digest{
		Upstream: u.record.ID,
		Instance: u.ramp.Instance(),
		At:       now,
		Running:  u.Running(),
		Limit:    u.limit(now),
		Level:    u.ramp.Level(),
		Warm:     u.ramp.Warm(),
		Memory:   u.share(),
		Leaving:  u.out || u.report.Leaving || u.record.State == bramleytack.UpstreamLeaving,
		Models:   u.report.Models,
	}
}

// HeldDump is a reservation in a state dump.
type HeldDump struct {
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
	Held        []HeldDump             `json:"held"`
}

// Dump returns the upstream's state, oldest reservation first.
func (u *Upstream) Dump() UpstreamDump {
	why, at := u.ramp.Reason()
	d := UpstreamDump{
		Upstream:    u.record.ID,
		Instance:    u.ramp.Instance(),
		Mode:        u.ramp.Mode().String(),
		Level:       u.ramp.Level(),
		Limit:       u.ramp.Limit(),
		ResetReason: why.String(),
		ResetAt:     at,
		Running:     u.Running(),
		Foreign:     u.foreign,
		MemoryShare: u.share(),
		ReportAt:    u.reportAt,
	}
	for _, h := range u.held {
		d.Held = append(d.Held, HeldDump{
			Grant:      h.Grant,
			Entry:      h.Entry,
			Request:    h.Request,
			Priority:   h.Priority.String(),
			Granted:    h.granted,
			ValidUntil: h.validUntil,
			Deadline:   h.Deadline,
			Produced:   h.produced,
			Suspect:    h.Suspect,
			EntryGone:  h.dead,
		})
	}
	slices.SortFunc(d.Held, func(a, b HeldDump) int {
		return cmp.Or(a.Granted.Compare(b.Granted), cmp.Compare(a.Grant, b.Grant))
	})
	return d
}
