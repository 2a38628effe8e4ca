package btquarantine

import "bramleytack"

// Evidence is what a daemon knows after a stream or call at an upstream ended
// early.
type Evidence struct {
	// Broken is set when a stream or call was cut before its end.
	Broken bool
	// Refused is set when a connection that was tried after the break was
	// refused by the upstream's host.
	Refused bool
	// Instance is the run of the upstream that had the stream.
	Instance bramleytack.InstanceID
	// Seen is the instance that the upstream reported after the break.
	Seen bramleytack.InstanceID
	// Leaving is set when the upstream or its failure domain was being taken
	// out of service, which ends streams without a crash.
	Leaving bool
}

// IsCrash says whether an upstream crashed. A broken stream alone may be a cut
// link, and so may a connection that times out. A crash needs a sign of the
// upstream's process: a new instance id, or a refused connection after the
// break.
func IsCrash(e Evidence) bool {
	if !e.Broken || e.Leaving {
		return false
	}
	replaced := e.Instance != "" && e.Seen != "" && e.Seen != e.Instance
	return e.Refused || replaced
}
