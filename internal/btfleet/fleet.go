package btfleet

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/http"
	"net/netip"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btcert"
	"bramleytack/btdaemon"
	"bramleytack/internal/btengine"
	"bramleytack/internal/btservice"
)

const (
	// startTimeout bounds the start of a process. It is generous, as many
	// processes start at once on a machine that may be busy.
	startTimeout = 20 * time.Second
	pollPeriod   = 50 * time.Millisecond
	// stopGrace is how long a process may take to end before it is killed.
	stopGrace = 3 * time.Second
)

// errNotYet says that a state that is waited for has not come.
var errNotYet = errors.New("btfleet: not yet")

// Fleet is a running deployment.
type Fleet struct {
	Config
	// Key is the API key of the workspace, OperatorKey that of operators.
	Key         string
	OperatorKey string

	Platform *Process
	Engines  []*Process
	Services []*Process
	Daemons  []*Process

	block  *block
	launch *launcher
	// authority signs the certificates of the links between daemons.
	authority *btcert.Authority
	versions  map[bramleytack.Key]bramleytack.Revision
	once      sync.Once
}

// Start starts all processes and waits until they answer. The caller must call
// Stop.
func Start(ctx context.Context, cfg Config) (*Fleet, error) {
	k, err := claimBlock()
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Config: cfg.withDefaults(), Key: rand.Text(), OperatorKey: rand.Text(),
		block: k, launch: newLauncher(), versions: map[bramleytack.Key]bramleytack.Revision{},
	}
	f.authority, err = btcert.NewAuthority(Region, f.Timer.Now(), certificateValidFor)
	if err == nil {
		err = f.authority.Pair.Write(f.Dir, btcert.AuthorityName)
	}
	if err == nil {
		err = f.plan()
	}
	if err == nil {
		err = f.startAll(ctx)
	}
	if err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startAll(ctx context.Context) error {
	for _, p := range f.Processes() {
		if err := p.Start(); err != nil {
			return err
		}
	}
	for _, p := range f.Processes() {
		if err := f.AwaitUp(ctx, p); err != nil {
			return err
		}
	}
	return nil
}

// plan sets up the processes without starting them.
func (f *Fleet) plan() error {
	for i := range f.Config.Engines {
		f.Engines = append(f.Engines, f.engine(i))
	}
	for i := range f.Config.Services {
		f.Services = append(f.Services, f.service(i))
	}
	f.Platform = f.process("platform", RolePlatform, "", f.block.upstream(hostPlatform), programStandin)
	for i := range f.Config.Daemons {
		p, err := f.daemon(i)
		if err != nil {
			return err
		}
		f.Daemons = append(f.Daemons, p)
	}
	f.Platform.args = f.platformArgs()
	return nil
}

func (f *Fleet) process(name string, role Role, d bramleytack.FailureDomainID, a Addresses, program string) *Process {
	return &Process{
		Name: name, Role: role, FailureDomain: d, Addresses: a,
		program: filepath.Join(f.Bin, program), log: filepath.Join(f.Dir, name+".log"), launch: f.launch,
	}
}

func domainOf(i int) bramleytack.FailureDomainID { return Domains[i%len(Domains)] }

func standinArgs(role Role, a Addresses) []string {
	return []string{string(role), "--listen", a.Listen.String(), "--debug-listen", a.Debug.String()}
}

func (f *Fleet) platformArgs() []string {
	args := append(standinArgs(RolePlatform, f.Platform.Addresses), "--host-lag", f.HostLag.String())
	for _, list := range [][]*Process{f.Daemons, f.Engines, f.Services} {
		for _, p := range list {
			args = append(args, "--host", p.Addresses.Listen.Addr().String())
		}
	}
	return args
}

func (f *Fleet) engine(i int) *Process {
	name := fmt.Sprintf("engine-%d", i+1)
	p := f.process(name, RoleEngine, domainOf(i), f.block.upstream(hostEngines+i), programStandin)
	p.args = append(standinArgs(RoleEngine, p.Addresses),
		"--instance", name, "--model", Model+"@"+Version, "--seed", strconv.Itoa(i+1),
		"--step-base", f.Step.String(), "--cold-limit", strconv.Itoa(f.EngineColdLimit),
		"--warm-after", strconv.Itoa(engineWarmAfter), "--cold-grace", f.EngineColdGrace.String(),
		"--restart-after", f.EngineRestartAfter.String())
	return p
}

func (f *Fleet) service(i int) *Process {
	name := fmt.Sprintf("%s-%d", Service, i+1)
	p := f.process(name, RoleService, domainOf(i), f.block.upstream(hostServices+i), programStandin)
	p.args = append(standinArgs(RoleService, p.Addresses), "--instance", name, "--work", f.Work.String())
	return p
}

// Processes returns all processes in the order of their start.
func (f *Fleet) Processes() []*Process {
	list := []*Process{}
	if f.Platform != nil {
		list = append(list, f.Platform)
	}
	list = append(list, f.Engines...)
	list = append(list, f.Services...)
	return append(list, f.Daemons...)
}

// Entries returns the callers' addresses of all daemons.
func (f *Fleet) Entries() []netip.AddrPort {
	var list []netip.AddrPort
	for _, p := range f.Daemons {
		list = append(list, p.Addresses.Listen)
	}
	return list
}

// Admins returns the operators' addresses of all daemons.
func (f *Fleet) Admins() []netip.AddrPort {
	var list []netip.AddrPort
	for _, p := range f.Daemons {
		list = append(list, *p.Addresses.Admin)
	}
	return list
}

func (f *Fleet) operator() *Operator { return &Operator{Key: f.OperatorKey, Admins: f.Admins()} }

// AwaitUp waits until a process answers.
func (f *Fleet) AwaitUp(ctx context.Context, p *Process) error {
	a, path := *p.debugOrAdmin(), "/debug/fault"
	if p.Role == RoleDaemon {
		path = "/healthz"
	}
	err := f.poll(ctx, "start of "+p.Name, func() error {
		if !p.Running() {
			return errNotRunning
		}
		return get(ctx, a, path, nil)
	})
	if err != nil {
		return errors.Wrapf(err, "btfleet: log of %s: %s", p.Name, p.Tail())
	}
	return nil
}

func (p *Process) debugOrAdmin() *netip.AddrPort {
	if p.Role == RoleDaemon {
		return p.Addresses.Admin
	}
	return p.Addresses.Debug
}

// poll calls check until it succeeds or startTimeout has passed.
func (f *Fleet) poll(ctx context.Context, what string, check func() error) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		err := check()
		if err == nil {
			return nil
		}
		if errors.Is(err, errNotRunning) || f.Timer.Sleep(ctx, pollPeriod) != nil {
			return errors.Wrapf(err, "btfleet: wait for %s", what)
		}
	}
}

// Status returns what a daemon says of its cell.
func (f *Fleet) Status(ctx context.Context, p *Process) (btdaemon.Status, error) {
	var s btdaemon.Status
	url := "http://" + p.Addresses.Admin.String() + "/admin/v1/status"
	header := http.Header{"Authorization": {"Bearer " + f.OperatorKey}}
	err := call(ctx, http.MethodGet, url, header, nil, &s)
	return s, err
}

// Load returns the load report of an upstream.
func (f *Fleet) Load(ctx context.Context, p *Process) (bramleytack.LoadReport, error) {
	var r bramleytack.LoadReport
	err := get(ctx, p.Addresses.Listen, "/v1/load", &r)
	return r, err
}

// Executions returns how often the services executed each idempotency key.
func (f *Fleet) Executions(ctx context.Context) (map[string]int, error) {
	sum := map[string]int{}
	for _, p := range f.Services {
		var e btservice.Executions
		if err := get(ctx, *p.Addresses.Debug, "/debug/executions", &e); err != nil {
			return nil, err
		}
		for key, n := range e.ByKey {
			sum[key] += n
		}
	}
	return sum, nil
}

// Work is the work that upstreams have accepted since their start.
type Work struct {
	Generations int
	Calls       int
}

// Accepted returns the work that the upstreams of a failure domain accepted.
func (f *Fleet) Accepted(ctx context.Context, id bramleytack.FailureDomainID) (Work, error) {
	var w Work
	for _, p := range f.Engines {
		var s btengine.Stats
		if p.FailureDomain != id {
			continue
		}
		if err := get(ctx, *p.Addresses.Debug, "/debug/stats", &s); err != nil {
			return w, err
		}
		w.Generations += s.Accepted
	}
	for _, p := range f.Services {
		var s btservice.Stats
		if p.FailureDomain != id {
			continue
		}
		if err := get(ctx, *p.Addresses.Debug, "/debug/stats", &s); err != nil {
			return w, err
		}
		w.Calls += s.Calls
	}
	return w, nil
}

// Ended returns the names of the engines and services that do not run. An
// engine or service that is overloaded while it is cold ends by itself.
func (f *Fleet) Ended() []string {
	var names []string
	for _, p := range append(slices.Clone(f.Engines), f.Services...) {
		if !p.Running() {
			names = append(names, p.Name)
		}
	}
	return names
}

// SetFault sets a fault of a simulated system at a path such as /debug/fault.
func (f *Fleet) SetFault(ctx context.Context, p *Process, path, fault string) error {
	return call(ctx, http.MethodPut, "http://"+p.Addresses.Debug.String()+path, nil, []byte(fault), nil)
}

// Stop ends all processes, the daemons first.
func (f *Fleet) Stop() {
	f.once.Do(f.stop)
}

func (f *Fleet) stop() {
	f.launch.refuse()
	f.stopList(f.Daemons)
	f.stopList(f.Processes())
	f.launch.close()
	f.block.release()
}

func (f *Fleet) stopList(list []*Process) {
	var wg sync.WaitGroup
	for _, p := range list {
		wg.Go(func() { p.stop(f.Timer, stopGrace) })
	}
	wg.Wait()
}
