package btcapacity

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
	"bramleytack/btrecord"
)

// Scenario is the size of one run.
type Scenario struct {
	Daemons    int `json:"daemons"`
	Upstreams  int `json:"upstreams"`
	Workspaces int `json:"workspaces"`
	// Changes is the number of configuration changes a second.
	Changes int `json:"changes"`
	// Hosts is the length of the platform's host list.
	Hosts int `json:"hosts"`
	// Streams is the number of open streams of the first daemon. Copy replaces
	// the daemon by a bare copy of the engines' bytes.
	Streams int  `json:"streams,omitempty"`
	Copy    bool `json:"copy,omitempty"`
	// Seconds is the time that is measured.
	Seconds int `json:"seconds"`
}

// The loopback addresses of a run. The second octet keeps them apart from
// those of the examples.
var (
	platformAddr = netip.MustParseAddrPort("127.40.255.1:17090")
	backendAddr  = netip.MustParseAddrPort("127.40.255.1:17091")
)

const (
	daemonPort   = 17080
	upstreamPort = 17100
	domains      = 3
	modelName    = "crease-lm"
	// recordBytes is the size of a record in the store.
	recordBytes = 1024
	// octet is the number of upstreams per third octet of an address.
	octet = 250
)

func daemonAddr(i, offset int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 40, 0, byte(i + 1)}), uint16(daemonPort+offset))
}

func upstreamAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 41, byte(i / octet), byte(i%octet + 1)}), upstreamPort)
}

func domainName(i int) string { return fmt.Sprintf("qld-%c", 'a'+i%domains) }

// Records returns the records of a scenario.
func (s Scenario) Records() []btrecord.Record {
	var list []btrecord.Record
	for i := range domains {
		list = append(list, record(btrecord.KindFailureDomain, domainName(i), btrecord.Fields{"region": "qld"}))
	}
	list = append(list, record(btrecord.KindModel, modelName, btrecord.Fields{
		"version": "3", "maxTokens": json.Number("32768"),
	}))
	limits := btrecord.Fields{"cold": json.Number("2"), "warm": json.Number("24"), "memoryTokens": json.Number("196608")}
	if s.Streams > 0 {
		// No stream waits for an upstream to warm up.
		limits = btrecord.Fields{"cold": json.Number("1000"), "warm": json.Number("1000"), "memoryTokens": json.Number("1000000000")}
	}
	for i := range s.Upstreams {
		list = append(list, record(btrecord.KindUpstream, fmt.Sprintf("crease-%05d", i), btrecord.Fields{
			"kind": "engine", "addr": upstreamAddr(i).String(), "failureDomain": domainName(i), "models": []any{modelName},
			"limits": limits,
		}))
	}
	for i := range s.Workspaces {
		list = append(list, workspaceRecord(i, 1))
	}
	return list
}

// workspaceRecord returns a record of recordBytes. A change gives it another
// weight.
func workspaceRecord(i, weight int) btrecord.Record {
	spec := btrecord.Fields{
		"keyHashes": []any{fmt.Sprintf("%064x", i+1)}, "weight": json.Number(fmt.Sprint(weight)),
		"limits": btrecord.Fields{"requestsPerSecond": json.Number("40"), "concurrency": json.Number("96")},
	}
	if i == 0 {
		spec["keyHashes"] = []any{streamWorkspaceHash()}
		delete(spec, "limits")
	}
	r := record(btrecord.KindWorkspace, fmt.Sprintf("shop-%05d", i), spec)
	o, _ := btrecord.Encode(r)
	const fieldBytes = len(`,"note":""`)
	if pad := recordBytes - len(o.Data) - fieldBytes; pad > 0 {
		// Unknown fields are kept, so the padding has no effect.
		r.Extra = btrecord.Fields{"note": strings.Repeat("x", pad)}
	}
	return r
}

func record(kind, name string, spec btrecord.Fields) btrecord.Record {
	return btrecord.Record{Kind: kind, SchemaVersion: 2, Name: name, Spec: spec}
}

// Objects returns the objects of the records, with rising versions.
func (s Scenario) Objects() ([]bramleytack.Object, error) {
	var list []bramleytack.Object
	for i, r := range s.Records() {
		if err := btrecord.Validate(r).Err(); err != nil {
			return nil, errors.Wrap(err, "btcapacity: record")
		}
		o, err := btrecord.Encode(r)
		if err != nil {
			return nil, err
		}
		o.Version = bramleytack.Revision(i + 1)
		list = append(list, o)
	}
	return list, nil
}

func (s Scenario) duration() time.Duration { return time.Duration(s.Seconds) * time.Second }
