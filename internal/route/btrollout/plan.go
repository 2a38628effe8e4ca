package btrollout

import (
	"time"

	"bramleytack"
)

// Stage is a step of a roll-out. Stages only rise while an order stands.
type Stage uint8

// The stages. Complete is reached once the store has the status.
const (
	Waiting Stage = iota
	Trial
	Quarter
	Half
	Full
)

var stageNames = [...]string{"waiting", "trial", "quarter", "half", "full"}

// String returns the name of the stage in logs, or "invalid".
func (s Stage) String() string {
	if int(s) < len(stageNames) {
		return stageNames[s]
	}
	return "invalid"
}

const (
	// usableShare is the share of an order's duration that a roll-out takes. The rest is for the
	// write of the status.
	usableShare = 0.9
	// minTime is the least time from the trial to the end, for orders whose upstreams come late.
	minTime = 6 * time.Second
	// The stages after the trial begin, and the roll-out completes, at these shares of the time
	// from the trial to the end. Until the full stage they expose the version to 0.08 of all
	// requests at an allowed share of 0.1. The trial is long because a version may turn bad
	// late.
	quarterAt, halfAt, fullAt, completeAt = 0.6, 0.68, 0.76, 0.94
	// minStage is the least share of that time that each stage takes.
	minStage = 0.05
	// patience is the share of that time for which a stage is put off in doubt or without
	// enough answers.
	patience = 0.14
	// minAnswers is the number of answers of the new version that ends the trial.
	minAnswers = 30
	// trialShare is the part of the allowed share, and trialSlack that of the slack, that the
	// trial uses.
	trialShare, trialSlack = 0.6, 0.6
	// guardShare and guardSlack bound what the version has got before the full stage. Counts of
	// other daemons are up to half a second old.
	guardShare, guardSlack = 0.9, 0.85
	// minCapacity is the places of the new upstreams as a share of the old ones' from which on
	// the trial begins.
	minCapacity = 0.5
	// maxTrialShare bounds the share of a trial with few requests.
	maxTrialShare = 0.5
	// The same upstreams of the new version get requests for slotShare of an order's duration,
	// within minSlot and maxSlot. Streams take some seconds to make an upstream busy.
	slotShare        = 0.15
	minSlot, maxSlot = 5 * time.Second, 20 * time.Second
	// pulsePeriod is the period of the pulses to services with few upstreams, and maxPulse the
	// largest share in a pulse.
	pulsePeriod = 6 * time.Second
	maxPulse    = 0.5
)

// shareOf returns the share of a stage after the trial.
func (s Stage) shareOf() float64 {
	switch s {
	case Quarter:
		return 0.25
	case Half:
		return 0.5
	case Full:
		return 1
	}
	return 0
}

// begins returns the time after the order at which a stage may begin, for one whose trial
// began at trial. completeStage stands for the completion.
func (o *order) begins(s Stage) time.Duration {
	at := map[Stage]float64{Quarter: quarterAt, Half: halfAt, Full: fullAt, completeStage: completeAt}[s]
	return o.trial + time.Duration(at*float64(o.time()))
}

const completeStage = Full + 1

// time returns the time from the trial to the end.
func (o *order) time() time.Duration {
	return max(time.Duration(usableShare*float64(o.rollout.Duration))-o.trial, minTime)
}

// trialShareOf returns the share of requests in a trial: at a low rate a part of the slack is
// added, which would else be left over.
func (b Bounds) trialShareOf(perSecond float64, trial time.Duration) float64 {
	requests := perSecond * trial.Seconds()
	return min(trialShare*b.Share+trialSlack*b.Slack/max(requests, 1), maxTrialShare)
}

// exceeded reports whether the version has had as many requests as it may get before the full stage.
func (b Bounds) exceeded(exposed, all uint64) bool {
	return float64(exposed) >= guardShare*b.Share*float64(all)+guardSlack*b.Slack
}

// dose is how the share is given at a moment: the probability with which a request goes to the
// new version, and the number of its upstreams that get requests.
type dose struct {
	share     float64
	upstreams int
}

// slot returns the time for which the same upstreams of the new version get requests. A verdict
// needs several of them, so single ones change with each pulse.
func (o *order) slot(upstreams int) time.Duration {
	if upstreams == 1 {
		return pulsePeriod
	}
	return min(max(time.Duration(slotShare*float64(o.rollout.Duration)), minSlot), maxSlot)
}

// doseOf returns the dose for a share, of n upstreams, at a time after the order. The upstreams
// that get requests are at least as busy as the old version's.
func doseOf(s Stage, share float64, n int, age time.Duration) dose {
	switch {
	case n == 0 || share <= 0:
		return dose{}
	case share*float64(n) >= 1 || s != Trial:
		return dose{share, min(max(int(share*float64(n)), 1), n)}
	}
	pulse := min(1/float64(n), maxPulse)
	if pulse <= share {
		return dose{share, 1}
	}
	// The pulse comes at the end of each period, so that the share is never exceeded.
	if in := age % pulsePeriod; float64(in) >= (1-share/pulse)*float64(pulsePeriod) {
		return dose{pulse, 1}
	}
	return dose{}
}

// places returns the places of an upstream.
func places(s *bramleytack.Snapshot, u *bramleytack.Upstream) int {
	if p := s.Engine(u.Service); p != nil {
		return p.Slots
	}
	return max(u.WarmLimit, 1)
}
