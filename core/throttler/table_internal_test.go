package throttler

import (
	"net/netip"
	"testing"
	"time"

	"cranberryspan.dev/core/timekeeper"
	"github.com/stretchr/testify/require"
)

// Guards against people behind one address that weigh as much as one caller: forty flows open
// under normal load and stay open for a minute until an overload begins; if the weight is updated
// only when a flow opens or ends, the time under normal load before the first such event in the
// overload is lost.
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

// Guards against a caller that gains weight from its load in an overload: when it opens forty flows
// during the overload and keeps them, and one of them ends five seconds after the overload. The
// first update under normal load must not count the time of the overload.
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
