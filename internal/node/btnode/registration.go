package btnode

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"bramleytack"
	"bramleytack/btevent"
	"bramleytack/internal/fleet/btgossip"
)

// daemonRecord is this product's own object in the store.
type daemonRecord struct {
	Addr netip.Addr `json:"addr"`
}

// registration keeps this daemon's address in the store, for daemons whose
// seeds are all down or start later than they do.
type registration struct{ node *Node }

// registerPause is the time between two looks whether to register. It lets
// daemons find each other by seeds first.
const registerPause = 1500 * time.Millisecond

func (r *registration) run(ctx context.Context) {
	n := r.node
	if _, done, err := r.meet(ctx); err != nil {
		n.log.Event(btevent.StoreDown).Str("call", "daemons").Err(err).Send()
	} else if done {
		n.log.Event(btevent.DaemonRegistered).Bool("before", true).Send()
		return
	}
	for n.timer.Sleep(ctx, registerPause) == nil {
		if n.contact.Down() || !n.gossip.ShouldRegister() && len(n.gossip.Alive()) > 0 {
			continue
		}
		if err := r.register(ctx); err != nil {
			n.log.Event(btevent.StoreDown).Str("call", "registration").Err(err).Send()
			continue
		}
		n.log.Event(btevent.DaemonRegistered).Send()
		return
	}
}

// meet reads which daemons have registered, lets the exchange know of them, and
// returns the version of this daemon's own record and whether it is right.
func (r *registration) meet(ctx context.Context) (own bramleytack.Revision, done bool, err error) {
	n := r.node
	objects, _, err := n.adapter.Feed.List(ctx, bramleytack.KindDaemons)
	if err != nil {
		return 0, false, err
	}
	var known []btgossip.RegisteredDaemon
	for _, o := range objects {
		var d daemonRecord
		if err := json.Unmarshal(o.Data, &d); err != nil {
			n.log.Event(btevent.ConfigUndecoded).Str("daemon", o.Name).Err(err).Send()
			continue
		}
		known = append(known, btgossip.RegisteredDaemon{Host: bramleytack.HostID(o.Name), Addr: d.Addr})
		if o.Name == string(n.settings.Host) {
			own, done = o.Version, d.Addr == n.settings.Addr
		}
	}
	n.gossip.Join(known)
	return own, done, nil
}

func (r *registration) register(ctx context.Context) error {
	n := r.node
	own, done, err := r.meet(ctx)
	if err != nil || done {
		return err
	}
	data, err := json.Marshal(daemonRecord{Addr: n.settings.Addr})
	if err != nil {
		return err
	}
	key := bramleytack.Key{Kind: bramleytack.KindDaemons, Name: string(n.settings.Host)}
	_, err = n.adapter.Registry.Put(ctx, bramleytack.Object{Key: key, Data: data}, own)
	return err
}
