package btquarantine

import "bramleytack"

// ReportKind says what a Report tells.
type ReportKind uint8

// The kinds of reports.
const (
	// Crashed names the fingerprints in flight at an upstream's crash.
	Crashed ReportKind = iota
	// Started says that a suspect's single run has begun.
	Started
	// Returned says that a suspect's run reached no upstream.
	Returned
	// Completed says that requests completed.
	Completed
)

var reportNames = [...]string{"crashed", "started", "returned", "completed"}

// String returns the kind's name.
func (k ReportKind) String() string {
	if int(k) < len(reportNames) {
		return reportNames[k]
	}
	return "invalid"
}

// Report is what daemons tell each other.
type Report struct {
	Kind         ReportKind
	Fingerprints []bramleytack.Fingerprint
	// Upstream and Instance belong to Crashed.
	Upstream bramleytack.UpstreamID
	Instance bramleytack.InstanceID
	// Alone belongs to Crashed: the fingerprints that ran alone at an instance
	// that had not crashed before.
	Alone []bramleytack.Fingerprint
	// Request belongs to Started and Returned.
	Request bramleytack.RequestID
}

// crash identifies one crash. An instance crashes once.
type crash struct {
	upstream bramleytack.UpstreamID
	instance bramleytack.InstanceID
}
