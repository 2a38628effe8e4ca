package btplace

import (
	"time"

	"bramleytack"
)

// Dump is the state of a Controller. It is empty on a daemon that does not hold
// the lease.
type Dump struct {
	Acting  bool                 `json:"acting"`
	Fence   bramleytack.Fence    `json:"fence,omitempty"`
	Age     time.Duration        `json:"age,omitempty"`
	Version bramleytack.Revision `json:"version,omitempty"`
	// Desired is the state that was last read from the store or written to it.
	Desired State        `json:"desired"`
	Tokens  float64      `json:"loadTokens"`
	Error   string       `json:"error,omitempty"`
	Engines []EngineDump `json:"engines,omitempty"`
}

// EngineDump is an engine in a Dump.
type EngineDump struct {
	Upstream   bramleytack.UpstreamID    `json:"upstream"`
	Instance   bramleytack.InstanceID    `json:"instance,omitempty"`
	Role       string                    `json:"role,omitempty"`
	Models     []bramleytack.LoadedModel `json:"models,omitempty"`
	Missed     int                       `json:"missed"`
	FiguresAt  time.Time                 `json:"figuresAt"`
	LastOrder  *bramleytack.Command      `json:"lastOrder,omitempty"`
	LastError  string                    `json:"lastError,omitempty"`
	RepeatFrom time.Time                 `json:"repeatFrom,omitzero"`
}

// Dump returns the current state.
func (c *Controller) Dump() Dump {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.term
	if t == nil {
		return Dump{}
	}
	d := Dump{
		Acting: true, Fence: t.fence, Age: c.Timer.Now().Sub(t.started), Version: t.version, Desired: t.state, Tokens: t.bucket.tokens,
	}
	if t.err != nil {
		d.Error = t.err.Error()
	}
	for _, e := range t.engines {
		d.Engines = append(d.Engines, e.dump())
	}
	return d
}

func (e *engine) dump() EngineDump {
	d := EngineDump{Upstream: e.record.ID, Missed: e.missed, FiguresAt: e.figuresAt}
	if e.report != nil {
		d.Instance, d.Role, d.Models = e.report.Instance, e.report.Role, e.report.Models
	}
	if e.last.at.IsZero() {
		return d
	}
	o := e.last.order
	d.LastOrder, d.RepeatFrom = &o, e.last.notBefore
	if e.last.err != nil {
		d.LastError = e.last.err.Error()
	}
	return d
}
