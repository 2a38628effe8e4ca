package btcapacity

import (
	"slices"

	"bramleytack/btpeer"
)

// Role is the part of a daemon in its cell.
type Role string

// The roles that a daemon without requests can have.
const (
	Coordinator Role = "coordinator"
	Deputy      Role = "deputy"
	Member      Role = "member"
)

// Daemon is what one daemon did in the measured time, per second.
type Daemon struct {
	Role      Role               `json:"role"`
	Messages  map[string]float64 `json:"messages"`
	Bytes     map[string]float64 `json:"bytes"`
	SentBytes float64            `json:"sentBytes"`
	// ReceivedBytes and SentBytes are those of the links, with TLS.
	ReceivedBytes float64 `json:"receivedBytes"`
	Reads         float64 `json:"reads"`
	Writes        float64 `json:"writes"`
	// Watches is the number of open watches.
	Watches float64 `json:"watches"`
	// Opened is the number of watches that were opened per second.
	Opened float64 `json:"opened"`
}

// Sample is the result of a Scenario.
type Sample struct {
	Scenario Scenario `json:"scenario"`
	// Processor is in seconds per second and daemon.
	Processor float64 `json:"processor"`
	// Heap and Stack are in bytes per daemon, after a collection.
	Heap       float64  `json:"heap"`
	Stack      float64  `json:"stack"`
	Goroutines float64  `json:"goroutines"`
	Daemons    []Daemon `json:"daemons"`
	// Tokens is the number of tokens a second of a scenario with streams,
	// PerToken the processor time in seconds of each.
	Tokens   float64 `json:"tokens,omitempty"`
	PerToken float64 `json:"perToken,omitempty"`
	// StreamHeap and StreamStack are in bytes per open stream.
	StreamHeap  float64 `json:"streamHeap,omitempty"`
	StreamStack float64 `json:"streamStack,omitempty"`
}

// state is the part of a state dump that is counted.
type state struct {
	Config struct {
		Objects int `json:"objects"`
	} `json:"config"`
	Cell struct {
		View *struct {
			Number  uint64 `json:"number"`
			Holder  string `json:"holder"`
			Members []struct {
				Host string `json:"host"`
			} `json:"members"`
		} `json:"view"`
	} `json:"cell"`
	Links btpeer.State `json:"links"`
	Watch struct {
		Following int `json:"following"`
	} `json:"watch"`
	Store struct {
		Reads   uint64 `json:"reads"`
		Writes  uint64 `json:"writes"`
		Watches uint64 `json:"watches"`
	} `json:"store"`
	Probes []struct{} `json:"probes"`
	Status struct {
		Host  string `json:"host"`
		Ready bool   `json:"ready"`
	} `json:"status"`
}

// complete says whether a daemon has its view and all records.
func (s *state) complete(sc Scenario) bool {
	objects := len(sc.Records())
	return s.Status.Ready && s.Cell.View != nil && len(s.Cell.View.Members) == sc.Daemons && s.Config.Objects == objects
}

func (s *state) role() Role {
	if s.Cell.View == nil {
		return Member
	}
	switch {
	case s.Cell.View.Holder == s.Status.Host:
		return Coordinator
	case s.Watch.Following > 0:
		return Deputy
	default:
		return Member
	}
}

// between returns what a daemon did between two states, per second.
func between(before, after *state, seconds float64) Daemon {
	d := Daemon{
		Role:          after.role(),
		Messages:      map[string]float64{},
		Bytes:         map[string]float64{},
		SentBytes:     rate(before.Links.Traffic.SentBytes, after.Links.Traffic.SentBytes, seconds),
		ReceivedBytes: rate(before.Links.Traffic.ReceivedBytes, after.Links.Traffic.ReceivedBytes, seconds),
		Reads:         rate(before.Store.Reads, after.Store.Reads, seconds),
		Writes:        rate(before.Store.Writes, after.Store.Writes, seconds),
		Watches:       float64(after.Watch.Following),
		Opened:        rate(before.Store.Watches, after.Store.Watches, seconds),
	}
	for _, c := range after.Links.Traffic.Messages {
		var old btpeer.MessageCount
		same := func(o btpeer.MessageCount) bool { return o.Type == c.Type }
		if i := slices.IndexFunc(before.Links.Traffic.Messages, same); i >= 0 {
			old = before.Links.Traffic.Messages[i]
		}
		d.Messages[c.Type+"/sent"] = rate(old.Sent, c.Sent, seconds)
		d.Messages[c.Type+"/received"] = rate(old.Received, c.Received, seconds)
		d.Bytes[c.Type+"/sent"] = rate(old.SentBytes, c.SentBytes, seconds)
		d.Bytes[c.Type+"/received"] = rate(old.ReceivedBytes, c.ReceivedBytes, seconds)
	}
	return d
}

func rate(before, after uint64, seconds float64) float64 { return float64(after-before) / seconds }
