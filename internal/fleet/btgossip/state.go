package btgossip

import (
	"time"

	"bramleytack"
)

// State is what this daemon knows of the fleet, for operators. Ages are in milliseconds.
type State struct {
	Host          bramleytack.HostID          `json:"host"`
	FailureDomain bramleytack.FailureDomainID `json:"failureDomain"`
	Domains       map[string]DomainState      `json:"domains"`
	// Hub is the hub that this daemon gets totals from, empty in a fleet without hubs.
	Hub bramleytack.HostID `json:"hub"`
	// TotalAge is the age of the newest total of this failure domain.
	TotalAge int64 `json:"totalAge"`
	// StoreDown is the number of other live daemons that the store does not answer.
	StoreDown int `json:"storeDown"`
}

// DomainState is the state of one failure domain.
type DomainState struct {
	// Alive is the number of other live daemons.
	Alive int `json:"alive"`
	// Hubs are its hubs.
	Hubs []bramleytack.HostID `json:"hubs"`
	// TableAge is the age of the newest load table of another failure domain.
	TableAge int64 `json:"tableAge"`
}

// State returns the current state.
func (n *Node) State() State {
	v, now := n.view(), n.Timer.Now()
	s := State{Host: n.Self.Host, FailureDomain: n.Self.FailureDomain, Domains: map[string]DomainState{}, StoreDown: v.storeDown}
	s.Domains[string(n.Self.FailureDomain)] = DomainState{}
	for i := range v.alive {
		d := s.Domains[string(v.alive[i].FailureDomain)]
		d.Alive++
		s.Domains[string(v.alive[i].FailureDomain)] = d
	}
	for domain, hubs := range v.hubs {
		d := s.Domains[string(domain)]
		for _, h := range hubs {
			d.Hubs = append(d.Hubs, h.Host)
		}
		d.TableAge = n.remoteTables.age(domain, now).Milliseconds()
		s.Domains[string(domain)] = d
	}
	if v.large() {
		var age time.Duration
		s.Hub, age = n.client.State(now)
		s.TotalAge = age.Milliseconds()
	}
	return s
}
