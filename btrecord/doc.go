// Package btrecord holds the records that operators write: models, workspaces,
// failure domains, upstreams, services, priority classes and commitments.
//
// A Record is a kind, a schema version, a name and a spec. The spec is kept as
// it was read, so that a writer keeps fields that it does not know. Each kind
// has one binding, which lists its fields once and serves decoding, encoding,
// validation and conversion between schema versions.
//
// # Schema versions
//
// Version 1 has the limits of workspaces and upstreams as flat fields, version
// 2 groups them under "limits". Both can be read and written. A record of a
// newer version is read by the fields that are known here, and Set changes
// only these fields and keeps the record's version.
//
// # Validation
//
// Validation collects findings with file, line and field path instead of
// stopping at the first one. A finding is an error or a warning; unknown fields
// are warnings, since a newer writer may have added them.
//
// # Usage
//
//	records, findings := btrecord.Parse("shop.yaml", data)
//	findings = append(findings, btrecord.Check(records)...)
//	if err := findings.Err(); err != nil {
//		return err
//	}
//	for _, r := range records {
//		o, err := btrecord.Encode(r)
//		...
//	}
//
// Read and change a typed value:
//
//	u, findings := btrecord.Upstreams.Value(r)
//	u.State = bramleytack.UpstreamLeaving
//	r, err := btrecord.Upstreams.Set(r, u)
package btrecord
