package btbench

import (
	"strconv"
	"time"

	"bramleytack"
	"bramleytack/internal/btengine"
)

// Sizes of a deployment.
const (
	engines = 12
	domains = 3
	entries = 8
)

// Times of the scenario, from the start of the arrivals.
const (
	arrivalsEnd = 300 * time.Second
	// horizon is the end of the run. What has not ended by then counts as
	// unfinished.
	horizon = 330 * time.Second
	// leaveAt is when a failure domain's engines say that they leave, and
	// operators take it out of service. They end after leaveNotice.
	leaveAt     = 125 * time.Second
	leaveNotice = 5 * time.Second
	returnAt    = 185 * time.Second
	// coldAt is when one engine turns cold without notice.
	coldAt = 225 * time.Second
	// leavingDomain and coldEngine are what these faults hit.
	leavingDomain = 0
	coldEngine    = 4
	// restartAfter is when the platform restarts an engine that died.
	restartAfter = 10 * time.Second
)

type span struct{ from, to time.Duration }

// overloads are the overload phases.
var overloads = [...]span{{60 * time.Second, 85 * time.Second}, {245 * time.Second, 270 * time.Second}}

// domainWindow is when a failure domain leaves, is away and warms up.
var domainWindow = span{leaveAt, returnAt + 20*time.Second}

// Limits of an engine.
const (
	coldLimit = 4
	warmLimit = 32
)

func engineConfig(i int, seed uint64) btengine.Config {
	c := btengine.DefaultConfig()
	c.Instance = bramleytack.InstanceID("engine-" + strconv.Itoa(i))
	c.Seed = seed + uint64(i)
	c.Models = []bramleytack.LoadedModel{{Model: model, Version: "1"}}
	c.MaxBatch = warmLimit
	c.ColdLimit = coldLimit
	c.ColdGrace = 3 * time.Second
	c.CacheEventLoss = 0.02
	c.Retention = time.Second
	return c
}

func upstreamID(i int) bramleytack.UpstreamID {
	return bramleytack.UpstreamID("engine-" + strconv.Itoa(i))
}

func domainID(i int) bramleytack.FailureDomainID {
	return bramleytack.FailureDomainID("domain-" + strconv.Itoa(i%domains))
}

func entryID(i int) bramleytack.HostID { return bramleytack.HostID("entry-" + strconv.Itoa(i)) }

// snapshot returns the configuration, with a failure domain in or out.
func snapshot(out bool) *bramleytack.Snapshot {
	s := &bramleytack.Snapshot{
		Models:         map[string]*bramleytack.Model{model: {Name: model, Version: "1"}},
		Workspaces:     map[bramleytack.WorkspaceID]*bramleytack.Workspace{},
		FailureDomains: map[bramleytack.FailureDomainID]*bramleytack.FailureDomain{},
		Upstreams:      map[bramleytack.UpstreamID]*bramleytack.Upstream{},
		ByModel:        map[string][]*bramleytack.Upstream{},
	}
	for i := range domains {
		d := &bramleytack.FailureDomain{Name: domainID(i), Region: "region", State: bramleytack.DomainActive}
		if out && i == leavingDomain {
			d.State = bramleytack.DomainOut
		}
		s.FailureDomains[d.Name] = d
	}
	for i, w := range workspaceWeights {
		ws := &bramleytack.Workspace{Name: workspaceName(i), Weight: w}
		if w > 1 {
			ws.Concurrency = 400
		}
		s.Workspaces[ws.Name] = ws
	}
	for i := range engines {
		u := &bramleytack.Upstream{
			ID: upstreamID(i), Kind: bramleytack.KindEngine, FailureDomain: domainID(i), Models: []string{model},
			State: bramleytack.UpstreamActive, ColdLimit: coldLimit, WarmLimit: warmLimit,
			MemoryTokens: engineConfig(i, 0).MemoryTokens,
		}
		s.Upstreams[u.ID] = u
		s.ByModel[model] = append(s.ByModel[model], u)
	}
	return s
}
