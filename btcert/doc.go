// Package btcert issues the TLS certificates that daemons use among themselves.
//
// A deployment has one certificate authority. The certificate of a host has the
// host id as its only DNS name and is valid for servers and clients, since each
// daemon is both. A deployment can use its own authority instead of this package
// if its certificates have these properties.
//
// # Usage
//
//	authority, err := btcert.NewAuthority("qld", now, 5*365*24*time.Hour)
//	pair, err := authority.Issue("qld-a-1", now, 90*24*time.Hour)
//	err = os.WriteFile("qld-a-1-key.pem", pair.Key, 0o600)
package btcert
