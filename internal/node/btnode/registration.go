package btnode

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"bramleytack"
	"bramleytack/btevent"
)

// daemonRecord is this product's own object in the store.
type daemonRecord struct {
	Addr netip.Addr `json:"addr"`
}

// registration keeps this daemon's address in the store, for daemons whose
// seeds are all down.
type registration struct{ node *Node }

// registerPause is the time between two looks whether to register. It lets
// daemons find each other by seeds first.
const registerPause = 1500 * time.Millisecond

func (r *registration) run(ctx context.Context) {
	n := r.node
	for n.timer.Sleep(ctx, registerPause) == nil {
		if n.contact.Down() || !n.gossip.Beacon() && len(n.gossip.Alive()) > 0 {
			continue
		}
		if err := r.register(ctx); err != nil {
			n.log.Event(btevent.StoreDown).Str("call", "registration").Err(err).Send()
			continue
		}
		n.log.Event(btevent.DaemonRegistered).Int("known", len(n.knownAddrs())).Send()
		return
	}
}

func (r *registration) register(ctx context.Context) error {
	n := r.node
	objects, _, err := n.adapter.Feed.List(ctx, bramleytack.KindDaemons)
	if err != nil {
		return err
	}
	var known []netip.Addr
	var own bramleytack.Object
	var held daemonRecord
	for _, o := range objects {
		var d daemonRecord
		if err := json.Unmarshal(o.Data, &d); err != nil {
			n.log.Event(btevent.ConfigUndecoded).Str("daemon", o.Name).Err(err).Send()
			continue
		}
		known = append(known, d.Addr)
		if o.Name == string(n.settings.Host) {
			own, held = o, d
		}
	}
	n.known.Store(&known)
	if held.Addr == n.settings.Addr {
		return nil
	}
	data, err := json.Marshal(daemonRecord{Addr: n.settings.Addr})
	if err != nil {
		return err
	}
	key := bramleytack.Key{Kind: bramleytack.KindDaemons, Name: string(n.settings.Host)}
	_, err = n.adapter.Registry.Put(ctx, bramleytack.Object{Key: key, Data: data}, own.Version)
	return err
}
