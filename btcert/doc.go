// Package btcert issues the certificates of the links between daemons.
//
// A deployment has one authority. Each host has a certificate that names the
// host id and is valid for servers and clients, since each daemon is both.
// Deployments with an authority of their own do not need this package: any
// certificate with the host id as its DNS name serves.
//
// # Usage
//
//	authority, err := btcert.NewAuthority("qld", now, 5*365*24*time.Hour)
//	pair, err := authority.Issue("qld-a-1", now, 90*24*time.Hour)
//	err = os.WriteFile("qld-a-1-key.pem", pair.Key, 0o600)
package btcert
