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
	// fanOut is the number of members that each member passes changes on to.
	fanOut = 2
	// pushTimeout bounds one push. A lost push is made good by a pull.
	pushTimeout = time.Second
	// pullDelay gives a push the time to arrive before a member that learned of
	// a higher revision pulls it.
	pullDelay = 200 * time.Millisecond
	// pullPeriod is the least time between two pulls.
	pullPeriod = 250 * time.Millisecond
	// maxPushBytes bounds one message. A larger change is pulled in parts.
	maxPushBytes = 2 << 20
)

// ConfigSync passes the configuration on inside a cell. The members form a binary
// tree with the coordinator at its root, so each hears of a change once and
// tells at most two others. A member that learns of a higher revision from a
// heartbeat pulls what it missed.
type ConfigSync struct {
	Self   bramleytack.HostID
	Node   *btpeer.Node
	Cell   *btview.Cell
	Config *btconfig.Config
	Timer  bramleytack.Timer
	// Complete says whether this member has seen a whole configuration. Nil
	// takes it as complete.
	Complete func() bool

	// behind receives the host of a higher revision.
	behind chan bramleytack.HostID
}

// Register makes the daemon take pushes and answer pulls. It must be called
// before Run.
func (s *ConfigSync) Register(mux *btpeer.Mux) {
	s.behind = make(chan bramleytack.HostID, 1)
	btpeer.Handle(mux, s.handlePush)
	btpeer.Handle(mux, s.handlePull)
}

// ObserveRevision records that a peer has a revision.
func (s *ConfigSync) ObserveRevision(host bramleytack.HostID, r bramleytack.Revision) {
	if r <= s.Config.Digest().Revision {
		return
	}
	select {
	case s.behind <- host:
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
		case host := <-s.behind:
			s.catchUp(ctx, host)
		case <-ctx.Done():
			return
		}
	}
}

// push sends the changes after a revision to the member's children. It returns
// the revision that was sent.
func (s *ConfigSync) push(ctx context.Context, after bramleytack.Revision) bramleytack.Revision {
	revision := s.Config.Digest().Revision
	if after == 0 {
		// A member that starts knows nothing that its children lack.
		return revision
	}
	m := &btwire.ConfigObjects{
		Host: string(s.Self), After: uint64(after), Revision: uint64(revision), Objects: encodeObjects(s.Config.Since(after)),
	}
	if size(m) > maxPushBytes {
		return revision
	}
	for _, child := range s.children() {
		ctx, cancel := context.WithTimeout(ctx, pushTimeout)
		_, _ = btpeer.Call[btwire.ConfigObjects, btwire.ConfigObjectsReply](ctx, s.Node, child, m)
		cancel()
	}
	return revision
}

// children returns the members that this one passes changes on to.
func (s *ConfigSync) children() []bramleytack.HostID {
	v := s.Cell.View()
	if v == nil {
		return nil
	}
	return children(treeOrder(v), s.Self)
}

// treeOrder lists the members with the coordinator first.
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

// children returns the children of a member in a tree that is laid out like a
// heap.
func children(order []bramleytack.HostID, self bramleytack.HostID) []bramleytack.HostID {
	i := slices.Index(order, self)
	if i < 0 {
		return nil
	}
	first := min(fanOut*i+1, len(order))
	return order[first:min(first+fanOut, len(order))]
}

// catchUp pulls what a peer has and this member lacks.
func (s *ConfigSync) catchUp(ctx context.Context, host bramleytack.HostID) {
	if s.Timer.Sleep(ctx, pullDelay) != nil {
		return
	}
	own := s.Config.Digest()
	if !s.pull(ctx, host, own.Revision, false) && s.Config.Digest().Revision == own.Revision {
		_ = s.Timer.Sleep(ctx, pullPeriod)
	}
}

// Reconcile pulls everything from a peer whose digest differs at the same
// revision: this member or the peer missed a change and knows later ones.
func (s *ConfigSync) Reconcile(ctx context.Context, host bramleytack.HostID, d btconfig.Digest) {
	if own := s.Config.Digest(); own.Revision == d.Revision && own.Hash != d.Hash {
		s.pull(ctx, host, 0, true)
	}
}

// Load takes the whole configuration from a peer that has it, for a member that
// starts while the store is away. It says whether that succeeded.
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
		// A change before these is missing.
		select {
		case s.behind <- from:
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

func size(m *btwire.ConfigObjects) int {
	n := 0
	for _, o := range m.GetObjects() {
		n += len(o.GetData())
	}
	return n
}
