package btnode

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btevent"
	"bramleytack/internal/fleet/btgossip"
)

// daemonRecord is the object in the store by which daemons find each other. Its
// format is this product's own, not the platform's.
type daemonRecord struct {
	Addr netip.Addr `json:"addr"`
}

// registration writes this daemon's address to the store if it is one of the few
// that should be listed there or knows no other daemon. Daemons whose seeds are all
// down, or start later than they do, find their peers by these addresses.
type registration struct {
	node *Node
	// registered is set while the store has the address, as far as known. epoch is that of the
	// store then: an older copy of it may lack the address.
	registered bool
	epoch      uint64
}

// errDaemonAddr is logged for a record of a daemon that cannot be reached.
var errDaemonAddr = errors.New("btnode: address of the daemon is not IPv4")

// registerInterval is the time between two checks whether to register. The first
// check waits as long, so that daemons can find each other by seeds before.
const registerInterval = 1500 * time.Millisecond

func (r *registration) run(ctx context.Context) {
	n := r.node
	if _, current, err := r.joinRegistered(ctx); err != nil {
		n.log.Event(btevent.StoreDown).Str("call", "daemons").Err(err).Send()
	} else if current {
		n.log.Event(btevent.DaemonRegistered).Bool("before", true).Send()
	}
	for n.timer.Sleep(ctx, registerInterval) == nil {
		if !r.due() {
			continue
		}
		if err := r.register(ctx); err != nil {
			n.log.Event(btevent.StoreDown).Str("call", "registration").Err(err).Send()
			continue
		}
		n.log.Event(btevent.DaemonRegistered).Send()
	}
}

// due reports whether the store should have the address and may lack it.
func (r *registration) due() bool {
	n := r.node
	if r.registered && n.table.Epoch() <= r.epoch || n.storeStatus.Down() {
		return false
	}
	return r.registered || n.gossip.ShouldRegister() || len(n.gossip.Alive()) == 0
}

// joinRegistered passes the registered daemons to the gossip. It returns the version
// of this daemon's own record, zero without one, and whether its address is current.
func (r *registration) joinRegistered(ctx context.Context) (own bramleytack.Revision, current bool, err error) {
	n := r.node
	objects, upto, err := n.adapter.Feed.List(ctx, bramleytack.KindDaemons)
	if err != nil {
		return 0, false, err
	}
	r.epoch = upto.Epoch()
	var registered []btgossip.RegisteredDaemon
	for _, o := range objects {
		var d daemonRecord
		err := o.Err
		if err == nil {
			err = json.Unmarshal(o.Data, &d)
		}
		if err == nil && !d.Addr.Is4() {
			err = errDaemonAddr
		}
		if err != nil {
			n.log.Event(btevent.RecordUndecodable).Str("daemon", o.Name).Err(err).Send()
			continue
		}
		registered = append(registered, btgossip.RegisteredDaemon{Host: bramleytack.HostID(o.Name), Addr: d.Addr})
		if o.Name == string(n.settings.Host) {
			own, current = o.Version, d.Addr == n.settings.Addr
		}
	}
	n.gossip.Join(registered)
	r.registered = current
	return own, current, nil
}

// register writes this daemon's record unless it is current.
func (r *registration) register(ctx context.Context) error {
	n := r.node
	own, current, err := r.joinRegistered(ctx)
	if err != nil || current {
		return err
	}
	data, err := json.Marshal(daemonRecord{Addr: n.settings.Addr})
	if err != nil {
		return err
	}
	key := bramleytack.Key{Kind: bramleytack.KindDaemons, Name: string(n.settings.Host)}
	version, err := n.adapter.Registry.Put(ctx, bramleytack.Object{Key: key, Data: data}, own)
	if err == nil {
		r.registered, r.epoch = true, version.Epoch()
	}
	return err
}
