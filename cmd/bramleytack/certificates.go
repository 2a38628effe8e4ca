package main

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"bramleytack"
	"bramleytack/btcert"
	"bramleytack/btrecord"
)

// Default validities of certificates.
const (
	authorityValidity = 5 * 365 * 24 * time.Hour
	hostValidity      = 90 * 24 * time.Hour
)

func (a *app) certificates() *ffcli.Command {
	fs := a.flagSet("certificates")
	dir := fs.String("dir", ".", "folder of the authority and of the new files")
	validFor := fs.Duration("valid-for", hostValidity, "validity of the hosts' certificates")
	return command(fs, "HOST...", "Issues certificates for the links between daemons.", func(_ context.Context, hosts []string) error {
		if len(hosts) == 0 {
			return usage("at least one host is required")
		}
		for _, h := range hosts {
			if !btrecord.ValidName(h) {
				return usage("%q is no valid host id", h)
			}
		}
		authority, err := a.authority(*dir)
		if err != nil {
			return err
		}
		for _, h := range hosts {
			pair, err := authority.Issue(bramleytack.HostID(h), a.timer.Now(), *validFor)
			if err != nil {
				return err
			}
			if err := pair.Write(*dir, h); err != nil {
				return err
			}
		}
		return nil
	})
}

// authority reads the authority in a folder, or makes one if there is none.
func (a *app) authority(dir string) (*btcert.Authority, error) {
	var p btcert.Pair
	var err error
	if p.Certificate, err = os.ReadFile(btcert.CertificateFile(dir, btcert.AuthorityName)); errors.Is(err, os.ErrNotExist) {
		authority, err := btcert.NewAuthority(filepath.Base(dir), a.timer.Now(), authorityValidity)
		if err != nil {
			return nil, err
		}
		return authority, authority.Pair.Write(dir, btcert.AuthorityName)
	}
	if err == nil {
		p.Key, err = os.ReadFile(btcert.KeyFile(dir, btcert.AuthorityName))
	}
	if err != nil {
		return nil, errors.Wrap(err, "certificates: authority")
	}
	return btcert.ParseAuthority(p)
}
