package btrecord

import (
	"slices"

	"bramleytack"
)

// Index tells which records exist beside the one that is checked.
type Index interface {
	// Has says whether there is a record of a kind with a name.
	Has(kind, name string) bool
	// KeyHashOwner returns the workspace that has an API key hash, or "".
	KeyHashOwner(hash string) bramleytack.WorkspaceID
}

// Reference is a reference from a field of one record to another record.
type Reference struct {
	Path string
	Kind string
	Name string
}

// References returns the references of a record to other records.
func References(r Record) []Reference {
	switch r.Kind {
	case KindUpstream:
		u, _ := Upstreams.Value(r)
		return upstreamReferences(&u)
	case KindCommitment:
		c, _ := Commitments.Value(r)
		return named(Reference{"spec.model", KindModel, c.Model})
	case KindWorkspace:
		w, _ := Workspaces.Value(r)
		return named(Reference{"spec.priorityClass", KindPriorityClass, w.PriorityClass})
	}
	return nil
}

// CheckReferences returns the findings of one record against the others. It
// does not repeat what Validate finds.
func CheckReferences(r Record, in Index) Findings {
	c := &collector{record: r.Kind + "/" + r.Name, source: r.source}
	for _, ref := range References(r) {
		if !in.Has(ref.Kind, ref.Name) {
			c.add(ref.Path, quoted(ref.Name)+" is not known", "the name of a "+ref.Kind+" record", Invalid)
		}
	}
	if r.Kind == KindWorkspace {
		checkKeyHashes(c, r, in)
	}
	return c.findings
}

// Check returns the findings of a complete set of records against each other.
func Check(records []Record) Findings {
	s := &set{records: map[bramleytack.Key]bool{}, hashes: map[string]bramleytack.WorkspaceID{}}
	var findings Findings
	for _, r := range records {
		findings = append(findings, s.add(r)...)
	}
	for _, r := range records {
		findings = append(findings, CheckReferences(r, s)...)
	}
	return findings
}

// set is the Index of a complete set of records.
type set struct {
	records map[bramleytack.Key]bool
	hashes  map[string]bramleytack.WorkspaceID
}

// Has implements Index.
func (s *set) Has(kind, name string) bool {
	return s.records[bramleytack.Key{Kind: kind, Name: name}]
}

// KeyHashOwner implements Index.
func (s *set) KeyHashOwner(hash string) bramleytack.WorkspaceID { return s.hashes[hash] }

func (s *set) add(r Record) Findings {
	c := &collector{record: r.Kind + "/" + r.Name, source: r.source}
	if s.records[r.Key()] {
		c.add("name", quoted(r.Name)+" is there twice", "one record of a kind with each name", Invalid)
		return c.findings
	}
	s.records[r.Key()] = true
	if r.Kind != KindWorkspace {
		return nil
	}
	w, _ := Workspaces.Value(r)
	for _, h := range w.KeyHashes {
		if _, ok := s.hashes[h]; !ok {
			s.hashes[h] = w.Name
		}
	}
	return nil
}

func checkKeyHashes(c *collector, r Record, in Index) {
	w, _ := Workspaces.Value(r)
	for _, h := range w.KeyHashes {
		if owner := in.KeyHashOwner(h); owner != "" && owner != w.Name {
			c.add("spec.keyHashes", "has a hash of workspace "+quoted(string(owner)), "hashes of this workspace's own keys", Invalid)
		}
	}
}

func upstreamReferences(u *bramleytack.Upstream) []Reference {
	refs := []Reference{
		{"spec.failureDomain", KindFailureDomain, string(u.FailureDomain)},
		{"spec.service", KindService, u.Service},
	}
	for _, m := range u.Models {
		refs = append(refs, Reference{"spec.models", KindModel, m})
	}
	return named(refs...)
}

// named drops the references that are empty or malformed.
func named(refs ...Reference) []Reference {
	return slices.DeleteFunc(refs, func(r Reference) bool { return r.Name == "" })
}
