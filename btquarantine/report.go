package btquarantine

import "bramleytack"

// ReportKind is the kind of a Report.
type ReportKind uint8

// The kinds of reports.
const (
	// Crashed is sent when an upstream crashes, with the requests in flight at it.
	Crashed ReportKind = iota
	// Started is sent when the single run of a suspect begins.
	Started
	// Returned is sent when the single run of a suspect reached no upstream, so
	// that another request may have it.
	Returned
	// Completed is sent when a suspect completes.
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

// Report is a message about suspects that a daemon sends to its peers.
type Report struct {
	Kind         ReportKind
	Fingerprints []bramleytack.Fingerprint
	// Upstream and Instance belong to Crashed.
	Upstream bramleytack.UpstreamID
	Instance bramleytack.InstanceID
	// Alone belongs to Crashed. It lists the suspects that ran alone at the
	// instance when it crashed.
	Alone []bramleytack.Fingerprint
	// Request belongs to Started and Returned.
	Request bramleytack.RequestID
}

// upstreamInstance identifies one start-up of an upstream. It also identifies a
// crash, since an instance crashes at most once.
type upstreamInstance struct {
	upstream bramleytack.UpstreamID
	instance bramleytack.InstanceID
}
