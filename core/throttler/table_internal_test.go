package throttler

import (
	"net/netip"
	"testing"
	"time"

	"cranberryspan.dev/core/timekeeper"
	"github.com/stretchr/testify/require"
)

// Symptom: people behind one address are taken for one caller. Sequence: forty flows open in
// calm times and stay open for a minute; then the service is short of room. Cause: the weight
// is only brought up to date when a flow opens or ends, and the calm time before the first
// change in a shortage is dropped.
func TestLongFlowsOpenedBeforeOverloadAddWeight(t *testing.T) {
	th := New(nil)
	a := netip.MustParseAddr("203.0.113.9")
	now := timekeeper.Instant(time.Second)
	r := Request{Caller: a, Service: "x"}
	for range 40 {
		th.Check(r, now)
		th.FlowStarted(r, now)
		now = now.Add(10 * time.Millisecond)
	}
	now = now.Add(60 * time.Second)
	r.Overloaded = true
	th.Check(r, now)
	th.FlowStarted(r, now)
	key, _ := keysOf(a)
	c, _ := th.service("x").addresses.callers.Peek(key)
	require.Greater(t, c.weight, 30.0)
}

// Symptom: a caller gains weight by pressing. Sequence: in a shortage it opens forty flows
// and holds them; five seconds after the shortage one of them ends. Cause: the first change in
// calm times counts all time since the last change, that of the shortage as well.
func TestWeightsDoNotGrowDuringOverload(t *testing.T) {
	th := New(nil)
	a := netip.MustParseAddr("203.0.113.9")
	now := timekeeper.Instant(time.Second)
	r := Request{Caller: a, Service: "x"}
	th.Check(r, now)
	th.FlowStarted(r, now)
	th.FlowEnded(r, now.Add(50*time.Millisecond))
	now = now.Add(time.Second)
	for range 40 {
		r.Overloaded = true
		th.Check(r, now)
		th.FlowStarted(r, now)
	}
	other := Request{Caller: netip.MustParseAddr("198.51.100.1"), Service: "x", Overloaded: true}
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		th.Check(other, now)
	}
	now = now.Add(weightFreezeDuration + time.Millisecond)
	th.FlowEnded(r, now)
	key, _ := keysOf(a)
	c, _ := th.service("x").addresses.callers.Peek(key)
	require.Less(t, c.weight, 40*0.45, "five seconds of calm are worth 0.39 of what is open")
}
