package btcapacity

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"bramleytack"
	"bramleytack/btclaim"
	"bramleytack/btconfig"
	"bramleytack/btpeer"
	"bramleytack/btrecord"
	"bramleytack/bttimer"
	"bramleytack/btview"
	"bramleytack/btwire"
	"bramleytack/internal/btmemstore"
)

const (
	cellMembers    = 32
	fleetUpstreams = 10_000
	fleetTenants   = 2_600
	// ownedUpstreams is a daemon's share of the 150 workers of its cell.
	ownedUpstreams = 5
)

func fleetObjects(b *testing.B) []bramleytack.Object {
	b.Helper()
	s := Scenario{Upstreams: fleetUpstreams, Workspaces: fleetTenants}
	objects, err := s.Objects()
	assert.NilError(b, err)
	return objects
}

// BenchmarkSnapshotUpdate applies one change to the records of the whole fleet.
func BenchmarkSnapshotUpdate(b *testing.B) {
	objects := fleetObjects(b)
	for _, kind := range []string{btrecord.KindWorkspace, btrecord.KindUpstream} {
		b.Run(kind, func(b *testing.B) {
			c := btconfig.New()
			c.Apply(objects)
			o := last(objects, kind)
			o.Version = bramleytack.Revision(len(objects))
			b.ReportAllocs()
			for b.Loop() {
				o.Version++
				c.Apply([]bramleytack.Object{o})
			}
		})
	}
}

func last(objects []bramleytack.Object, kind string) bramleytack.Object {
	var found bramleytack.Object
	for _, o := range objects {
		if o.Kind == kind {
			found = o
		}
	}
	return found
}

// BenchmarkOwnership finds the owners of all upstreams of the fleet, which each
// daemon does after each change.
func BenchmarkOwnership(b *testing.B) {
	v := &btview.View{Members: members()}
	ids := make([]bramleytack.UpstreamID, fleetUpstreams)
	for i := range ids {
		ids[i] = bramleytack.UpstreamID(fmt.Sprintf("crease-%05d", i))
	}
	for b.Loop() {
		for _, id := range ids {
			v.Owner(id)
		}
	}
}

func members() []btview.Member {
	var list []btview.Member
	for i := range cellMembers {
		list = append(list, btview.Member{Host: bramleytack.HostID(fmt.Sprintf("host-%03d", i)), PeerAddr: daemonAddr(i, 2)})
	}
	return list
}

// exchangeMessage is an Exchange with the upstreams of one owner and the
// demands of active workspaces.
func exchangeMessage(upstreams, demands int) *btwire.Exchange {
	m := &btwire.Exchange{
		Host: "host-001", EntryAddr: "127.40.0.1:17080", AdminAddr: "127.40.0.1:17081", FailureDomain: "qld-a",
		ConfigRevision: 12_629, ConfigHash: 1 << 60, ViewNumber: 40, Streams: 800,
	}
	for i := range upstreams {
		m.Upstreams = append(m.Upstreams, &btwire.UpstreamDigest{
			Upstream: fmt.Sprintf("crease-%05d", i), Instance: "instance-0001", Running: 24, Limit: 24, Level: 24, Warm: true,
			ForecastMemoryShare: 0.7, Age: durationpb.New(200 * time.Millisecond),
			Models: []*btwire.HeldModel{{Model: modelName, Version: "3"}},
		})
	}
	for i := range demands {
		m.Demands = append(m.Demands, &btwire.WorkspaceDemand{
			Workspace: fmt.Sprintf("shop-%05d", i), RequestsPerSecond: 0.3, Concurrency: 2,
		})
	}
	return m
}

// BenchmarkExchangeCodec encodes and decodes one exchange.
func BenchmarkExchangeCodec(b *testing.B) {
	for _, size := range []struct{ upstreams, demands int }{{ownedUpstreams, 0}, {ownedUpstreams, 100}, {ownedUpstreams, fleetTenants}, {313, 0}} {
		b.Run(fmt.Sprintf("upstreams=%d/demands=%d", size.upstreams, size.demands), func(b *testing.B) {
			m := exchangeMessage(size.upstreams, size.demands)
			b.ReportAllocs()
			for b.Loop() {
				data, err := proto.Marshal(m)
				if err == nil {
					err = proto.Unmarshal(data, &btwire.Exchange{})
				}
				if err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(proto.Size(m)), "B/message")
		})
	}
}

// linked returns a node that is linked to another one with mutual TLS.
func linked(b *testing.B, mux *btpeer.Mux) *btpeer.Node {
	b.Helper()
	a, err := newAuthority(b.TempDir())
	assert.NilError(b, err)
	timers := bttimer.New(1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	nodes := map[string]*btpeer.Node{}
	for _, host := range []string{"host-001", "host-002"} {
		t, err := a.issue(host)
		assert.NilError(b, err)
		nodes[host] = &btpeer.Node{
			Host: bramleytack.HostID(host), Timer: timers, Mux: mux,
			Certificates: &btpeer.Certificates{CertFile: t.Certificate, KeyFile: t.Key, CAFile: t.Authority},
		}
	}
	served := make(chan error, 1)
	go func() { served <- nodes["host-002"].Serve(ctx, l) }()
	nodes["host-001"].SetPeer("host-002", netip.MustParseAddrPort(l.Addr().String()))
	b.Cleanup(func() {
		cancel()
		<-served
		nodes["host-001"].Close()
		nodes["host-002"].Close()
		timers.Close()
	})
	return nodes["host-001"]
}

// reportWire reports the bytes that both sides sent per call.
func reportWire(b *testing.B, n *btpeer.Node, before btpeer.Traffic) {
	t := n.Traffic()
	sum := t.SentBytes + t.ReceivedBytes - before.SentBytes - before.ReceivedBytes
	b.ReportMetric(float64(sum)/float64(b.N), "wireB/op")
}

// BenchmarkReserve makes a reservation over a link.
func BenchmarkReserve(b *testing.B) {
	mux := &btpeer.Mux{}
	btpeer.Handle(mux, func(_ context.Context, _ bramleytack.HostID, r *btwire.Reserve) (*btwire.ReserveReply, error) {
		return &btwire.ReserveReply{
			ViewNumber: 40, Digests: exchangeMessage(1, 0).GetUpstreams(),
			Grant: &btwire.Grant{Id: r.GetGrant(), Upstream: r.GetUpstream(), Instance: "instance-0001", ViewNumber: 40, ValidFor: durationpb.New(time.Second)},
		}, nil
	})
	n := linked(b, mux)
	request := &btwire.Reserve{
		Grant: "0123456789abcdef", Upstream: "crease-00001", Entry: "host-001", Request: "0123456789abcdef0123456789abcdef",
		Workspace: "shop-00001", Model: modelName, Priority: "standard", PromptTokens: 400, MaxTokens: 2000, Deadline: durationpb.New(time.Minute), ViewNumber: 40,
	}
	benchmarkCall[btwire.Reserve, btwire.ReserveReply](b, n, request)
}

// BenchmarkHeartbeat sends a member's heartbeat.
func BenchmarkHeartbeat(b *testing.B) {
	mux := &btpeer.Mux{}
	btpeer.Handle(mux, func(context.Context, bramleytack.HostID, *btwire.Heartbeat) (*btwire.HeartbeatReply, error) {
		return &btwire.HeartbeatReply{
			Fence: 100, Holder: "host-002", HolderAddr: "127.40.0.2:17082", ViewNumber: 40, ViewLease: durationpb.New(2 * time.Second),
			ConfigRevision: 12_629, LeaseVersion: 90_000, Acknowledgements: &btwire.Acknowledgements{ViewNumber: 40},
		}, nil
	})
	n := linked(b, mux)
	benchmarkCall[btwire.Heartbeat, btwire.HeartbeatReply](b, n, &btwire.Heartbeat{
		Cell: "qld-1", Member: &btwire.Member{Host: "host-001", Incarnation: 1 << 60, PeerAddr: "127.40.0.1:17082", FailureDomain: "qld-a"},
		ViewNumber: 40, ConfigRevision: 12_629,
	})
}

type pointer[T any] interface {
	*T
	proto.Message
}

func benchmarkCall[Req, Resp any, PReq pointer[Req], PResp pointer[Resp]](b *testing.B, n *btpeer.Node, r *Req) {
	b.Helper()
	call := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := btpeer.Call[Req, Resp, PReq, PResp](ctx, n, "host-002", r)
		return err
	}
	assert.NilError(b, call())
	before, used := n.Traffic(), processor()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if err := call(); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	b.ReportMetric(float64((processor()-used).Nanoseconds())/float64(b.N), "cpu-ns/op")
	reportWire(b, n, before)
}

// BenchmarkClaim begins and finishes claims of one shard concurrently.
func BenchmarkClaim(b *testing.B) {
	const callers = 16
	store := btmemstore.New()
	timers := bttimer.New(1)
	defer timers.Close()
	shard := &btclaim.Shard{Store: store, Timer: timers, Cell: "qld-1"}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		shard.Run(ctx)
		close(ended)
	}()
	defer func() {
		cancel()
		<-ended
	}()
	var next atomic.Int64
	b.SetParallelism(callers)
	used := processor()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			key := btclaim.ClaimKey{Workspace: "shop-00001", Service: "orders", Key: fmt.Sprintf("order-%d", next.Add(1))}
			d, err := shard.Begin(ctx, key, bramleytack.Fingerprint{1}, "host-001", "request")
			if err == nil {
				err = shard.Finish(ctx, key, d.Attempt, bramleytack.Ran, &bramleytack.Response{Status: 200, Body: []byte(`{"order":17}`)})
			}
			if err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.StopTimer()
	b.ReportMetric(float64((processor()-used).Nanoseconds())/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(store.Counts().Writes)/float64(b.N), "writes/claim")
}
