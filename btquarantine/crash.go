package btquarantine

import "bramleytack"

// Evidence is what a daemon knows after a stream or call at an upstream ended
// early.
type Evidence struct {
	// Broken is set when the stream or call ended early.
	Broken bool
	// ConnectionRefused is set when the upstream's host refused a connection
	// after the break.
	ConnectionRefused bool
	// Instance is the start-up of the upstream that ran the stream or call.
	Instance bramleytack.InstanceID
	// ReportedInstance is the instance that the upstream reported after the
	// break.
	ReportedInstance bramleytack.InstanceID
	// Leaving is set when the upstream is leaving or gets no new work, for
	// example because its failure domain is out of service. Streams may then
	// end without a crash.
	Leaving bool
}

// IsCrash reports whether an upstream crashed. A broken stream or a connection
// that times out may also be a network failure. A crash needs a sign that the
// upstream's process ended: a new instance id, or a refused connection after
// the break.
func IsCrash(e Evidence) bool {
	if !e.Broken || e.Leaving {
		return false
	}
	replaced := e.Instance != "" && e.ReportedInstance != "" && e.ReportedInstance != e.Instance
	return e.ConnectionRefused || replaced
}
