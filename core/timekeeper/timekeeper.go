// Package timekeeper defines the only representation of time that decisions use.
package timekeeper

import "time"

// Instant is a point in time on one host's monotonic clock, in nanoseconds since an origin that
// differs from host to host. Instants are never sent to other hosts: messages carry the time
// left until a deadline instead.
type Instant int64

// Never is an Instant that no clock reaches, for a deadline that never passes.
const Never Instant = 1<<63 - 1

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Until returns the time from now to i; negative once i has passed.
func (i Instant) Until(now Instant) time.Duration { return time.Duration(i - now) }

// Passed reports whether the deadline i has been reached at now.
func (i Instant) Passed(now Instant) bool { return now >= i }

// Since returns the time from earlier to i.
func (i Instant) Since(earlier Instant) time.Duration { return time.Duration(i - earlier) }
