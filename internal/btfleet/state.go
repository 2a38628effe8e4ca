package btfleet

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btlease"
	"bramleytack/btowner"
	"bramleytack/btrecord"
	"bramleytack/internal/btengine"
	"bramleytack/internal/btplatform"
)

// errNoRole says that no daemon that was asked has a role.
var errNoRole = errors.New("btfleet: no daemon has the role")

// Lease returns what a daemon's state dump says of the lease of its cell.
func (f *Fleet) Lease(ctx context.Context, p *Process) (btlease.State, error) {
	var d struct {
		Lease btlease.State `json:"lease"`
	}
	err := get(ctx, *p.Addresses.Admin, "/debug/state", &d)
	return d.Lease, err
}

// Held returns the number of reservations that a daemon's requests use.
func (f *Fleet) Held(ctx context.Context, p *Process) (int, error) {
	var d struct {
		Status struct {
			Held int `json:"held"`
		} `json:"status"`
	}
	err := get(ctx, *p.Addresses.Admin, "/debug/state?part=status", &d)
	return d.Status.Held, err
}

// Coordinator returns the daemon that holds the lease of the cell. The daemons
// given are not asked, since a frozen process does not answer.
func (f *Fleet) Coordinator(ctx context.Context, except ...*Process) (*Process, error) {
	for _, p := range f.others(except) {
		l, err := f.Lease(ctx, p)
		if err != nil {
			return nil, err
		}
		if l.Held {
			return p, nil
		}
	}
	return nil, errNoRole
}

// Owner returns a daemon that owns an upstream.
func (f *Fleet) Owner(ctx context.Context, upstream *Process, except ...*Process) (*Process, error) {
	for _, p := range f.others(except) {
		var d struct {
			Owner btowner.Dump `json:"owner"`
		}
		if err := get(ctx, *p.Addresses.Admin, "/debug/state", &d); err != nil {
			return nil, err
		}
		for _, u := range d.Owner.Upstreams {
			if string(u.Upstream) == upstream.Name {
				return p, nil
			}
		}
	}
	return nil, errNoRole
}

// others returns the running daemons without those given.
func (f *Fleet) others(except []*Process) []*Process {
	skip := map[*Process]bool{}
	for _, p := range except {
		skip[p] = true
	}
	var list []*Process
	for _, p := range f.Daemons {
		if p.Running() && !skip[p] {
			list = append(list, p)
		}
	}
	return list
}

// EngineStats returns what an engine did since its process started.
func (f *Fleet) EngineStats(ctx context.Context, p *Process) (btengine.Stats, error) {
	var s btengine.Stats
	err := get(ctx, *p.Addresses.Debug, "/debug/stats", &s)
	return s, err
}

// SetUpstreamLeaving changes the record of an engine to leaving.
func (f *Fleet) SetUpstreamLeaving(ctx context.Context, p *Process) error {
	for _, r := range f.records() {
		if r.Kind != btrecord.KindUpstream || r.Name != p.Name {
			continue
		}
		r.Spec["state"] = string(bramleytack.UpstreamLeaving)
		v, err := f.operator().Put(ctx, r, f.versions[r.Key()])
		if err == nil {
			f.versions[r.Key()] = v
		}
		return err
	}
	return errors.Newf("btfleet: no record of %s", p.Name)
}

// SetHostLeaving marks the host of a process as leaving in the platform's host
// list, which shows the change after its lag.
func (f *Fleet) SetHostLeaving(ctx context.Context, leaving *Process) error {
	var l btplatform.Hosts
	if err := get(ctx, *f.Platform.Addresses.Debug, "/debug/hosts", &l); err != nil {
		return err
	}
	// The platform sets the time of the list.
	l.At = time.Time{}
	for i := range l.Hosts {
		if l.Hosts[i].Addr == leaving.Addresses.Listen.Addr() {
			l.Hosts[i].Leaving = true
		}
	}
	body, err := json.Marshal(l)
	if err != nil {
		return errors.Wrap(err, "btfleet: host list")
	}
	url := "http://" + f.Platform.Addresses.Debug.String() + "/debug/hosts"
	return call(ctx, http.MethodPut, url, nil, body, nil)
}
