package btfleet

import (
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"bramleytack"
)

// ProcessEntry describes a process in processes.json.
type ProcessEntry struct {
	Name          string                      `json:"name"`
	Role          Role                        `json:"role"`
	PID           int                         `json:"pid"`
	Addresses     Addresses                   `json:"addresses"`
	FailureDomain bramleytack.FailureDomainID `json:"failureDomain,omitempty"`
}

// operatorFile is the content of operator.yaml.
type operatorFile struct {
	Admin       []string `yaml:"admin"`
	Entries     []string `yaml:"entries"`
	OperatorKey string   `yaml:"operatorKey"`
	APIKey      string   `yaml:"apiKey"`
}

// WriteFiles writes processes.json, api-key and operator.yaml, which tell
// operators and callers how to reach the fleet.
func (f *Fleet) WriteFiles(dir string) error {
	var list []ProcessEntry
	for _, p := range f.Processes() {
		list = append(list, ProcessEntry{
			Name: p.Name, Role: p.Role, PID: p.PID(), Addresses: p.Addresses, FailureDomain: p.FailureDomain,
		})
	}
	processes, err := json.MarshalIndent(list, "", "  ")
	if err != nil {
		return errors.Wrap(err, "btfleet: processes")
	}
	operator, err := yaml.Marshal(operatorFile{
		Admin: addrNames(f.Admins()), Entries: addrNames(f.Entries()), OperatorKey: f.OperatorKey, APIKey: f.Key,
	})
	if err != nil {
		return errors.Wrap(err, "btfleet: operator")
	}
	for _, file := range []struct {
		name string
		data []byte
	}{{"processes.json", append(processes, '\n')}, {"api-key", []byte(f.Key + "\n")}, {"operator.yaml", operator}} {
		if err := os.WriteFile(filepath.Join(dir, file.name), file.data, 0o600); err != nil {
			return errors.Wrap(err, "btfleet: file")
		}
	}
	return nil
}

func addrNames(addrs []netip.AddrPort) []string {
	var list []string
	for _, a := range addrs {
		list = append(list, a.String())
	}
	return list
}
