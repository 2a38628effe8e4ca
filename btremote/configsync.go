package btremote

import (
	"context"
	"slices"
	"time"

	"bramleytack"
	"bramleytack/btconfig"
	"bramleytack/btpeer"
	"bramleytack/btview"
	"bramleytack/btwire"
)

const (
	// fanOut is the number of members to which each member pushes changes.
	fanOut = 2
	// pushTimeout bounds one push or pull. A lost push is made up for by a pull.
	pushTimeout = time.Second
	// pullDelay gives a push time to arrive before a member pulls a revision that a
	// peer has announced.
	pullDelay = 200 * time.Millisecond
	// pullRetryDelay is the pause after a pull that failed without any progress.
	pullRetryDelay = 250 * time.Millisecond
	// maxPushBytes bounds the objects of one message. A larger change is pulled in
	// several parts.
	maxPushBytes = 2 << 20
)

// ConfigSync distributes the configuration inside a cell. The members form a
// binary tree with the coordinator at its root, and each pushes a change once to
// at most two others. A member that sees a higher revision in a heartbeat or
// an exchange pulls the changes that it lacks.
type ConfigSync struct {
	Self   bramleytack.HostID
	Node   *btpeer.Node
	Cell   *btview.Cell
	Config *btconfig.Config
	Timer  bramleytack.Timer
	// Complete reports whether this member has loaded a whole configuration. Nil
	// means that it has.
	Complete func() bool

	// peersAhead receives the host of a peer that has a higher revision.
	peersAhead chan bramleytack.HostID
}

// Register registers the handlers for pushes and pulls. It must be called before
// Run.
func (s *ConfigSync) Register(mux *btpeer.Mux) {
	s.peersAhead = make(chan bramleytack.HostID, 1)
	btpeer.Handle(mux, s.handlePush)
	btpeer.Handle(mux, s.handlePull)
}

// ObserveRevision schedules a pull from a peer if its revision is higher than the
// own one. It does not block.
func (s *ConfigSync) ObserveRevision(host bramleytack.HostID, r bramleytack.Revision) {
	if r <= s.Config.Digest().Revision {
		return
	}
	select {
	case s.peersAhead <- host:
	default:
	}
}

// Run pushes and pulls until the context ends.
func (s *ConfigSync) Run(ctx context.Context) {
	changes, cancel := s.Config.Subscribe()
	defer cancel()
	var pushed bramleytack.Revision
	for {
		select {
		case <-changes:
			pushed = s.push(ctx, pushed)
		case host := <-s.peersAhead:
			s.catchUp(ctx, host)
		case <-ctx.Done():
			return
		}
	}
}

// push sends the changes after a revision to the member's children. Changes of more
// than maxPushBytes are not sent; the children pull them. It returns the revision up
// to which changes need no further push.
func (s *ConfigSync) push(ctx context.Context, after bramleytack.Revision) bramleytack.Revision {
	revision := s.Config.Digest().Revision
	if after == 0 {
		// A member that has just started has no changes that its children lack.
		return revision
	}
	m := &btwire.ConfigObjects{
		Host: string(s.Self), After: uint64(after), Revision: uint64(revision), Objects: encodeObjects(s.Config.Since(after)),
	}
	if payloadBytes(m) > maxPushBytes {
		return revision
	}
	for _, child := range s.children() {
		ctx, cancel := context.WithTimeout(ctx, pushTimeout)
		_, _ = btpeer.Call[btwire.ConfigObjects, btwire.ConfigObjectsReply](ctx, s.Node, child, m)
		cancel()
	}
	return revision
}

// children returns the members to which this one pushes changes.
func (s *ConfigSync) children() []bramleytack.HostID {
	v := s.Cell.View()
	if v == nil {
		return nil
	}
	return children(treeOrder(v), s.Self)
}

// treeOrder returns the members sorted by host, with the coordinator first.
func treeOrder(v *btview.View) []bramleytack.HostID {
	order := make([]bramleytack.HostID, 0, len(v.Members))
	for _, m := range v.Members {
		order = append(order, m.Host)
	}
	slices.Sort(order)
	if i := slices.Index(order, v.Holder); i > 0 {
		order = slices.Delete(order, i, i+1)
		order = slices.Insert(order, 0, v.Holder)
	}
	return order
}

// children returns the children of a member in a tree that is stored as an array,
// like a binary heap.
func children(order []bramleytack.HostID, self bramleytack.HostID) []bramleytack.HostID {
	i := slices.Index(order, self)
	if i < 0 {
		return nil
	}
	first := min(fanOut*i+1, len(order))
	return order[first:min(first+fanOut, len(order))]
}

// catchUp pulls the changes that a peer has and this member lacks.
func (s *ConfigSync) catchUp(ctx context.Context, host bramleytack.HostID) {
	if s.Timer.Sleep(ctx, pullDelay) != nil {
		return
	}
	own := s.Config.Digest()
	if !s.pull(ctx, host, own.Revision, false) && s.Config.Digest().Revision == own.Revision {
		_ = s.Timer.Sleep(ctx, pullRetryDelay)
	}
}

// Reconcile pulls everything from a peer whose digest differs at the same revision:
// one of the two missed a change but has later ones.
func (s *ConfigSync) Reconcile(ctx context.Context, host bramleytack.HostID, d btconfig.Digest) {
	if own := s.Config.Digest(); own.Revision == d.Revision && own.Hash != d.Hash {
		s.pull(ctx, host, 0, true)
	}
}

// Load pulls the whole configuration from a peer, for a member that starts while the
// store is unavailable. It reports whether that succeeded.
func (s *ConfigSync) Load(ctx context.Context, host bramleytack.HostID) bool {
	return s.pull(ctx, host, 0, true)
}

func (s *ConfigSync) pull(ctx context.Context, host bramleytack.HostID, after bramleytack.Revision, full bool) bool {
	for {
		ctx, cancel := context.WithTimeout(ctx, pushTimeout)
		reply, err := btpeer.Call[btwire.ConfigPull, btwire.ConfigObjects](ctx, s.Node, host, &btwire.ConfigPull{
			Host: string(s.Self), After: uint64(after), Full: full,
		})
		cancel()
		if err != nil {
			return false
		}
		s.Config.Apply(decodeObjects(reply.GetObjects()))
		if !reply.GetMore() {
			return true
		}
		after = bramleytack.Revision(reply.GetRevision())
		full = false
	}
}

func (s *ConfigSync) handlePush(_ context.Context, from bramleytack.HostID, m *btwire.ConfigObjects) (*btwire.ConfigObjectsReply, error) {
	own := s.Config.Digest().Revision
	s.Config.Apply(decodeObjects(m.GetObjects()))
	if bramleytack.Revision(m.GetAfter()) > own {
		// Changes before the pushed ones are missing here.
		select {
		case s.peersAhead <- from:
		default:
		}
	}
	return &btwire.ConfigObjectsReply{Revision: uint64(s.Config.Digest().Revision)}, nil
}

func (s *ConfigSync) handlePull(_ context.Context, _ bramleytack.HostID, m *btwire.ConfigPull) (*btwire.ConfigObjects, error) {
	objects := s.Config.Since(bramleytack.Revision(m.GetAfter()))
	if m.GetFull() {
		if s.Complete != nil && !s.Complete() {
			return nil, bramleytack.NewError(bramleytack.CodeStarting, bramleytack.NotRun, "configuration is not complete yet")
		}
		objects = s.Config.All()
	}
	reply := &btwire.ConfigObjects{Host: string(s.Self), Revision: uint64(s.Config.Digest().Revision), Full: m.GetFull()}
	bytes := 0
	for i, o := range objects {
		if bytes += len(o.Data); bytes > maxPushBytes && i > 0 {
			reply.More = true
			reply.Revision = uint64(objects[i-1].Version)
			objects = objects[:i]
			break
		}
	}
	reply.Objects = encodeObjects(objects)
	return reply, nil
}

func payloadBytes(m *btwire.ConfigObjects) int {
	n := 0
	for _, o := range m.GetObjects() {
		n += len(o.GetData())
	}
	return n
}
