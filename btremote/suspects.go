package btremote

import (
	"context"
	"sync"
	"time"

	"bramleytack"
	"bramleytack/btpeer"
	"bramleytack/btquarantine"
	"bramleytack/btview"
	"bramleytack/btwire"
)

const (
	// reportQueueSize bounds the reports that wait to be sent. Further ones are
	// dropped: a lost report never quarantines a request that caused no crash.
	reportQueueSize = 256
	// reportTimeout bounds the sending of one report to all peers.
	reportTimeout = 500 * time.Millisecond
	// arbiterTimeout bounds the wait for the arbiter of a suspect's single run.
	arbiterTimeout = 500 * time.Millisecond
)

// Suspects distributes reports of requests that crash upstreams, and arbitrates
// which entry may run a suspect.
type Suspects struct {
	Self  bramleytack.HostID
	Node  *btpeer.Node
	Cell  *btview.Cell
	Table *btquarantine.Table

	queue chan queueItem
}

// queueItem is a report to send, or the marker of a Flush.
type queueItem struct {
	report btquarantine.Report
	// flushed is closed when all earlier items were sent. It is nil for a report.
	flushed chan struct{}
}

// Register registers the handlers for reports and single runs. It must be called
// before Run.
func (s *Suspects) Register(mux *btpeer.Mux) {
	s.queue = make(chan queueItem, reportQueueSize)
	btpeer.Handle(mux, s.handleReport)
	btpeer.Handle(mux, s.handleRun)
}

// Notify queues a report for all peers. It does not block.
func (s *Suspects) Notify(r btquarantine.Report) {
	select {
	case s.queue <- queueItem{report: r}:
	default:
	}
}

// Flush returns when all queued reports were sent to the peers that reply, or when
// the context ends.
func (s *Suspects) Flush(ctx context.Context) {
	marker := queueItem{flushed: make(chan struct{})}
	select {
	case s.queue <- marker:
	case <-ctx.Done():
		return
	}
	select {
	case <-marker.flushed:
	case <-ctx.Done():
	}
}

// Run sends reports until the context ends.
func (s *Suspects) Run(ctx context.Context) {
	for {
		select {
		case n := <-s.queue:
			if n.flushed != nil {
				close(n.flushed)
				continue
			}
			s.send(ctx, encodeReport(n.report))
		case <-ctx.Done():
			return
		}
	}
}

func (s *Suspects) send(ctx context.Context, m *btwire.QuarantineReport) {
	v := s.Cell.View()
	if v == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var sent sync.WaitGroup
	for _, member := range v.Members {
		if member.Host == s.Self {
			continue
		}
		sent.Go(func() {
			_, _ = btpeer.Call[btwire.QuarantineReport, btwire.QuarantineReportReply](ctx, s.Node, member.Host, m)
		})
	}
	sent.Wait()
}

// Arbitrate asks the member that decides about a suspect's single run. It returns
// nil if the request may run. It serves as Arbiter of btquarantine.Filter.
func (s *Suspects) Arbitrate(ctx context.Context, fp bramleytack.Fingerprint, request bramleytack.RequestID) error {
	// Upstream ids contain no slash, so this name is never that of an upstream.
	arbiter, _ := s.Cell.Owner(bramleytack.UpstreamID("fingerprint/" + fp.String()))
	if arbiter == "" || arbiter == s.Self {
		return s.Table.Grant(fp, request)
	}
	ctx, cancel := context.WithTimeout(ctx, arbiterTimeout)
	defer cancel()
	_, err := btpeer.Call[btwire.SuspectRun, btwire.SuspectRunReply](ctx, s.Node, arbiter, &btwire.SuspectRun{
		Fingerprint: fp[:], Request: string(request),
	})
	return err
}

func (s *Suspects) handleReport(_ context.Context, _ bramleytack.HostID, m *btwire.QuarantineReport) (*btwire.QuarantineReportReply, error) {
	if r, ok := decodeReport(m); ok {
		s.Table.Apply(r)
	}
	return &btwire.QuarantineReportReply{}, nil
}

func (s *Suspects) handleRun(_ context.Context, _ bramleytack.HostID, m *btwire.SuspectRun) (*btwire.SuspectRunReply, error) {
	fp, ok := decodeFingerprint(m.GetFingerprint())
	if !ok {
		return nil, bramleytack.NewError(bramleytack.CodeBadRequest, bramleytack.NotRun, "fingerprint has the wrong length")
	}
	return &btwire.SuspectRunReply{}, s.Table.Grant(fp, bramleytack.RequestID(m.GetRequest()))
}

var wireKinds = map[btquarantine.ReportKind]btwire.QuarantineKind{
	btquarantine.Crashed:   btwire.QuarantineKind_QUARANTINE_KIND_CRASHED,
	btquarantine.Started:   btwire.QuarantineKind_QUARANTINE_KIND_STARTED,
	btquarantine.Returned:  btwire.QuarantineKind_QUARANTINE_KIND_RETURNED,
	btquarantine.Completed: btwire.QuarantineKind_QUARANTINE_KIND_COMPLETED,
}

func encodeReport(r btquarantine.Report) *btwire.QuarantineReport {
	return &btwire.QuarantineReport{
		Kind: wireKinds[r.Kind], Upstream: string(r.Upstream), Instance: string(r.Instance), Request: string(r.Request),
		Fingerprints: encodeFingerprints(r.Fingerprints), Alone: encodeFingerprints(r.Alone),
	}
}

// decodeReport returns false for a report of an unknown kind.
func decodeReport(m *btwire.QuarantineReport) (btquarantine.Report, bool) {
	r := btquarantine.Report{
		Upstream: bramleytack.UpstreamID(m.GetUpstream()), Instance: bramleytack.InstanceID(m.GetInstance()),
		Request:      bramleytack.RequestID(m.GetRequest()),
		Fingerprints: decodeFingerprints(m.GetFingerprints()), Alone: decodeFingerprints(m.GetAlone()),
	}
	for kind, wire := range wireKinds {
		if wire == m.GetKind() {
			r.Kind = kind
			return r, true
		}
	}
	return r, false
}

func encodeFingerprints(list []bramleytack.Fingerprint) [][]byte {
	b := make([][]byte, 0, len(list))
	for _, fp := range list {
		b = append(b, fp[:])
	}
	return b
}

func decodeFingerprints(list [][]byte) []bramleytack.Fingerprint {
	var fps []bramleytack.Fingerprint
	for _, b := range list {
		if fp, ok := decodeFingerprint(b); ok {
			fps = append(fps, fp)
		}
	}
	return fps
}
