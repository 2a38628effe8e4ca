package btfleet

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"bramleytack"
	"bramleytack/btcert"
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
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	Authority   string `yaml:"authority"`
}

type settingsLimits struct {
	MaxQueueTime string `yaml:"maxQueueTime"`
}

// certificateValidFor is longer than any run of a fleet.
const certificateValidFor = 24 * time.Hour

// certificate issues the certificate of a daemon and returns the files of its
// mutual TLS.
func (f *Fleet) certificate(host bramleytack.HostID) (settingsTLS, error) {
	pair, err := f.authority.Issue(host, f.Timer.Now(), certificateValidFor)
	if err != nil {
		return settingsTLS{}, err
	}
	t := settingsTLS{
		Certificate: btcert.CertificateFile(f.Dir, string(host)),
		Key:         btcert.KeyFile(f.Dir, string(host)),
		Authority:   btcert.CertificateFile(f.Dir, btcert.AuthorityName),
	}
	return t, pair.Write(f.Dir, string(host))
}

// daemon plans a daemon and writes its settings.
func (f *Fleet) daemon(i int) (*Process, error) {
	d := domainOf(i)
	name := fmt.Sprintf("%s-%d", d, i/len(Domains)+1)
	p := f.process(name, RoleDaemon, d, f.block.daemon(hostDaemons+i), programDaemon)
	files, err := f.certificate(bramleytack.HostID(name))
	if err != nil {
		return nil, err
	}
	data, err := yaml.Marshal(settings{
		Host:              name,
		Region:            Region,
		FailureDomain:     string(d),
		Cell:              Cell,
		Listen:            p.Addresses.Listen.String(),
		AdminListen:       p.Addresses.Admin.String(),
		PeerListen:        p.Addresses.Peer.String(),
		Platform:          f.Platform.Addresses.Listen.String(),
		PeerTLS:           files,
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
