package btfleet

import (
	"context"
	"strconv"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btidentity"
	"bramleytack/btrecord"
)

// Limits of the upstreams' records. The service's limits are higher, as its
// calls are short.
const (
	engineCold  = 4
	engineWarm  = 16
	serviceCold = 16
	serviceWarm = 64
	maxTokens   = 16384
)

// records returns the fleet's configuration in an order in which no record
// refers to a later one.
func (f *Fleet) records() []btrecord.Record {
	var list []btrecord.Record
	for _, d := range Domains {
		list = append(list, domainRecord(d, bramleytack.DomainActive))
	}
	list = append(list,
		record(btrecord.KindModel, Model, btrecord.Fields{"version": Version, "maxTokens": maxTokens}),
		record(btrecord.KindService, Service, btrecord.Fields{"timeout": "10s"}),
		record(btrecord.KindWorkspace, Workspace, btrecord.Fields{
			"keyHashes": []any{btidentity.HashKey(f.Key)}, "priority": bramleytack.Interactive.String(),
		}),
	)
	for _, p := range f.Engines {
		list = append(list, upstreamRecord(p, bramleytack.KindEngine, btrecord.Fields{
			"models": []any{Model}, "limits": limits(engineCold, engineWarm),
		}))
	}
	for _, p := range f.Services {
		list = append(list, upstreamRecord(p, bramleytack.KindService, btrecord.Fields{
			"service": Service, "limits": limits(serviceCold, serviceWarm),
		}))
	}
	return list
}

func record(kind, name string, spec btrecord.Fields) btrecord.Record {
	return btrecord.Record{Kind: kind, SchemaVersion: btrecord.NewestSchema, Name: name, Spec: spec}
}

func domainRecord(id bramleytack.FailureDomainID, state bramleytack.DomainState) btrecord.Record {
	return record(btrecord.KindFailureDomain, string(id), btrecord.Fields{"region": Region, "state": string(state)})
}

func upstreamRecord(p *Process, kind bramleytack.UpstreamKind, spec btrecord.Fields) btrecord.Record {
	spec["kind"] = string(kind)
	spec["addr"] = p.Addresses.Listen.String()
	spec["failureDomain"] = string(p.FailureDomain)
	return record(btrecord.KindUpstream, p.Name, spec)
}

func limits(cold, warm int) btrecord.Fields {
	return btrecord.Fields{"cold": cold, "warm": warm}
}

// Configure writes all records and waits until all daemons are ready.
func (f *Fleet) Configure(ctx context.Context) error {
	var last bramleytack.Revision
	for _, r := range f.records() {
		v, err := f.operator().Put(ctx, r, 0)
		if err != nil {
			return err
		}
		f.versions[r.Key()] = v
		last = max(last, v)
	}
	return f.AwaitRevision(ctx, last)
}

// SetDomain changes the state of a failure domain.
func (f *Fleet) SetDomain(ctx context.Context, id bramleytack.FailureDomainID, state bramleytack.DomainState) error {
	r := domainRecord(id, state)
	v, err := f.operator().Put(ctx, r, f.versions[r.Key()])
	if err != nil {
		return err
	}
	f.versions[r.Key()] = v
	return nil
}

// AwaitRevision waits until all running daemons are ready, have a revision in
// force and know each other.
func (f *Fleet) AwaitRevision(ctx context.Context, revision bramleytack.Revision) error {
	running := 0
	for _, p := range f.Daemons {
		if p.Running() {
			running++
		}
	}
	for _, p := range f.Daemons {
		if !p.Running() {
			continue
		}
		err := f.poll(ctx, p.Name+" at revision "+strconv.FormatUint(uint64(revision), 10), func() error {
			return f.inForce(ctx, p, revision, running)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) inForce(ctx context.Context, p *Process, revision bramleytack.Revision, members int) error {
	s, err := f.Status(ctx, p)
	if err != nil {
		return err
	}
	known := 0
	for _, d := range s.Daemons {
		if d.Config.Revision >= revision {
			known++
		}
	}
	if !s.Ready || known < members {
		return errors.Wrapf(errNotYet, "ready %v, %d of %d members at the revision", s.Ready, known, members)
	}
	return nil
}
