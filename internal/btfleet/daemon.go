package btfleet

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"bramleytack/btidentity"
)

// settings is the settings file of a daemon.
type settings struct {
	Host              string         `yaml:"host"`
	Region            string         `yaml:"region"`
	FailureDomain     string         `yaml:"failureDomain"`
	Cell              string         `yaml:"cell"`
	Listen            string         `yaml:"listen"`
	AdminListen       string         `yaml:"adminListen"`
	PeerListen        string         `yaml:"peerListen"`
	Platform          string         `yaml:"platform"`
	PeerTLS           settingsTLS    `yaml:"peerTLS"`
	OperatorKeyHashes []string       `yaml:"operatorKeyHashes"`
	Limits            settingsLimits `yaml:"limits"`
	EntriesValidFor   string         `yaml:"entriesValidFor"`
}

type settingsTLS struct {
	Plain bool `yaml:"plain"`
}

type settingsLimits struct {
	MaxQueueTime string `yaml:"maxQueueTime"`
}

// daemon plans a daemon and writes its settings.
func (f *Fleet) daemon(i int) (*Process, error) {
	d := domainOf(i)
	name := fmt.Sprintf("%s-%d", d, i/len(Domains)+1)
	p := f.process(name, RoleDaemon, d, f.block.daemon(hostDaemons+i), programDaemon)
	data, err := yaml.Marshal(settings{
		Host:              name,
		Region:            Region,
		FailureDomain:     string(d),
		Cell:              Cell,
		Listen:            p.Addresses.Listen.String(),
		AdminListen:       p.Addresses.Admin.String(),
		PeerListen:        p.Addresses.Peer.String(),
		Platform:          f.Platform.Addresses.Listen.String(),
		PeerTLS:           settingsTLS{Plain: true},
		OperatorKeyHashes: []string{btidentity.HashKey(f.OperatorKey)},
		Limits:            settingsLimits{MaxQueueTime: f.MaxQueueTime.String()},
		EntriesValidFor:   f.EntriesValidFor.String(),
	})
	if err != nil {
		return nil, errors.Wrap(err, "btfleet: settings")
	}
	file := filepath.Join(f.Dir, name+".yaml")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, errors.Wrap(err, "btfleet: settings")
	}
	p.args = []string{"--config", file}
	return p, nil
}
