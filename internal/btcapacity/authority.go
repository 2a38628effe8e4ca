package btcapacity

import (
	"time"

	"bramleytack"
	"bramleytack/btcert"
	"bramleytack/btsettings"
)

// certificateLife is longer than any run.
const certificateLife = time.Hour

// authority writes the certificates of a fleet into a folder.
type authority struct {
	dir    string
	issuer *btcert.Authority
}

func newAuthority(dir string) (*authority, error) {
	issuer, err := btcert.NewAuthority("capacity", time.Now(), certificateLife)
	if err != nil {
		return nil, err
	}
	return &authority{dir: dir, issuer: issuer}, issuer.Pair.Write(dir, btcert.AuthorityName)
}

// issue writes the certificate of a host.
func (a *authority) issue(host string) (btsettings.PeerTLS, error) {
	pair, err := a.issuer.Issue(bramleytack.HostID(host), time.Now(), certificateLife)
	if err != nil {
		return btsettings.PeerTLS{}, err
	}
	t := btsettings.PeerTLS{
		Certificate: btcert.CertificateFile(a.dir, host),
		Key:         btcert.KeyFile(a.dir, host),
		Authority:   btcert.CertificateFile(a.dir, btcert.AuthorityName),
	}
	return t, pair.Write(a.dir, host)
}
