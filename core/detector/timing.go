package detector

import (
	"fmt"
	"time"
)

// Timing holds the spans that failure detection works with.
type Timing struct {
	// PingInterval is the time between two rounds of heartbeats.
	PingInterval time.Duration
	// Lease is how long an Ack counts as a vote for the host that sent the
	// Ping, from the moment when the Ping was sent.
	Lease time.Duration
	// Grant is how long the voter keeps its word, from the moment when it
	// sends the Ack. Grant exceeds Lease by what two clocks may drift apart.
	Grant time.Duration
	// SuspectAfter is how long a host may stay silent before it is suspect.
	SuspectAfter time.Duration
	// DeadAfter is how long a host may stay silent before it is given up.
	DeadAfter time.Duration
	// MembershipOverlap is how long a change of a cell's members waits for the old members.
	MembershipOverlap time.Duration
}

// DefaultTiming suits hosts that are a few milliseconds apart.
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

// Check reports a timing under which two hosts could hold a lease at once.
func (t Timing) Check() error {
	const op = "check timing"
	switch {
	case t.PingInterval <= 0 || t.Lease < 2*t.PingInterval:
		return &Error{Op: op, Kind: KindTiming, Err: fmt.Errorf("lease %s is shorter than two ping intervals of %s", t.Lease, t.PingInterval)}
	case t.Grant < t.Lease+t.Lease/10:
		return &Error{Op: op, Kind: KindTiming, Err: fmt.Errorf("grant %s leaves less than a tenth of lease %s for clock drift", t.Grant, t.Lease)}
	case t.DeadAfter < t.Grant:
		return &Error{Op: op, Kind: KindTiming, Err: fmt.Errorf("a host is given up after %s, while its grant of %s may hold", t.DeadAfter, t.Grant)}
	}
	return nil
}
