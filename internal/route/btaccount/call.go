package btaccount

import (
	"bramleytack"
	"bramleytack/internal/route/btwaiting"
)

// Call counts one call of a plain service for its workspace, until End is called.
type Call struct {
	table     *Table
	id        bramleytack.UpstreamID
	workspace btwaiting.WorkspaceKey
	waits     bool
	// reserved is the upstream at which the call takes a place before it is sent, or empty.
	reserved bramleytack.UpstreamID
}

// BeginCall adds a call of a workspace to the load of one of a service's upstreams, by which
// other daemons learn of it while calls wait. It returns nil if there is no upstream.
func (t *Table) BeginCall(s *bramleytack.Snapshot, service string, workspace bramleytack.WorkspaceID) *Call {
	list := s.ByService[service]
	if len(list) == 0 {
		return nil
	}
	c := &Call{table: t, id: list[0].ID, workspace: btwaiting.KeyOf(workspace)}
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.account(c.id)
	a.own.Calls = a.own.Calls.Add(c.workspace, 1)
	return c
}

// BeginWaiting counts the call among those that wait in the daemon until EndWaiting is called.
// A nil c has no effect.
func (c *Call) BeginWaiting() {
	if c == nil {
		return
	}
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.waits = true
	c.table.account(c.id).own.Waiting++
	c.table.notifyWaiting()
}

// EndWaiting undoes BeginWaiting. A nil c has no effect.
func (c *Call) EndWaiting() {
	if c == nil {
		return
	}
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.endWaiting()
}

func (c *Call) endWaiting() {
	if !c.waits {
		return
	}
	c.waits = false
	a := c.table.account(c.id)
	if a.own.Waiting--; a.own.Waiting == 0 {
		c.table.notifyWaiting()
	}
}

// Reserve counts the call at an upstream that was chosen for it, until Release is called. Calls
// that are chosen for before it is sent then see its place taken. A nil c has no effect.
func (c *Call) Reserve(id bramleytack.UpstreamID) {
	if c == nil {
		return
	}
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.release()
	c.reserved = id
	c.table.account(id).own.Running++
}

// Release undoes Reserve. A nil c has no effect.
func (c *Call) Release() {
	if c == nil {
		return
	}
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.release()
}

func (c *Call) release() {
	if c.reserved != "" {
		c.table.account(c.reserved).own.Running--
		c.reserved = ""
	}
}

// End removes the call from the load. It may be called once. A nil c has no effect.
func (c *Call) End() {
	if c == nil {
		return
	}
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	c.endWaiting()
	c.release()
	a := c.table.account(c.id)
	a.own.Calls = a.own.Calls.Add(c.workspace, -1)
}
