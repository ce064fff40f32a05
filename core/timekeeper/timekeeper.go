// Package timekeeper holds the one notion of time that the decisions know.
package timekeeper

import "time"

// Instant is a moment on one host's monotonic clock, in nanoseconds since an
// origin that differs from host to host. Instants never travel between hosts:
// messages carry what is left until a deadline instead.
type Instant int64

// Never is an Instant that no deadline reaches.
const Never Instant = 1<<63 - 1

// Add returns the instant that lies d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Until returns how long it is from now to i; negative once i has passed.
func (i Instant) Until(now Instant) time.Duration { return time.Duration(i - now) }

// Passed reports whether a deadline is over at now.
func (i Instant) Passed(now Instant) bool { return now >= i }

// Since returns how long ago earlier was at i.
func (i Instant) Since(earlier Instant) time.Duration { return time.Duration(i - earlier) }
