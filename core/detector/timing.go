package detector

import (
	"fmt"
	"time"
)

// Timing holds the intervals and timeouts of failure detection.
type Timing struct {
	// PingInterval is the time between two rounds of pings.
	PingInterval time.Duration
	// Lease is how long an Ack counts as a vote for the sender of the Ping,
	// measured from when the Ping was sent.
	Lease time.Duration
	// Grant is how long the voter is bound by its vote, measured from when it sends
	// the Ack. Grant exceeds Lease by the possible drift between two clocks.
	Grant time.Duration
	// SuspectAfter is how long a host may be unresponsive before it is suspect.
	SuspectAfter time.Duration
	// DeadAfter is how long a host may be unresponsive before it is declared dead.
	DeadAfter time.Duration
	// MembershipOverlap is the maximum time for which the quorum of an earlier cell
	// membership is still required.
	MembershipOverlap time.Duration
}

// DefaultTiming returns a timing for hosts with a few milliseconds of latency
// between them.
func DefaultTiming() Timing {
	return Timing{
		PingInterval:      400 * time.Millisecond,
		Lease:             1500 * time.Millisecond,
		Grant:             1800 * time.Millisecond,
		SuspectAfter:      1000 * time.Millisecond,
		DeadAfter:         2500 * time.Millisecond,
		MembershipOverlap: 60 * time.Second,
	}
}

// Check returns an error if two hosts could hold a lease at once under this timing.
func (t Timing) Check() error {
	const op = "check timing"
	switch {
	case t.PingInterval <= 0 || t.Lease < 2*t.PingInterval:
		return &Error{Op: op, Kind: KindTiming, Err: fmt.Errorf("lease %s is shorter than two ping intervals of %s", t.Lease, t.PingInterval)}
	case t.Grant < t.Lease+t.Lease/10:
		return &Error{Op: op, Kind: KindTiming, Err: fmt.Errorf("grant %s leaves less than a tenth of lease %s for clock drift", t.Grant, t.Lease)}
	case t.DeadAfter < t.Grant:
		return &Error{Op: op, Kind: KindTiming, Err: fmt.Errorf("host declared dead after %s, before its grant of %s expires", t.DeadAfter, t.Grant)}
	}
	return nil
}
