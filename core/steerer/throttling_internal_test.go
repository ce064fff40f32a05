package steerer

import (
	"net/netip"
	"testing"
	"time"

	"cranberryspan.dev/core/throttler"
	"cranberryspan.dev/core/timekeeper"
	"github.com/stretchr/testify/require"
)

// forwardedFlow is a flow to a service that has been forwarded.
func forwardedFlow(t *testing.T, s *Steerer, caller, service string) (flowKey, *flow) {
	key := flowKey{caller: netip.MustParseAddrPort(caller)}
	f := &flow{target: &target{Target: Target{Service: service}}}
	require.True(t, s.rememberFlow(key, f))
	s.throttler.Check(throttler.Request{Caller: key.caller.Addr(), Service: service}, s.now)
	s.recordFlowStart(key, f)
	return key, f
}

// fairShare is the fair share of a caller at an overloaded service.
func fairShare(s *Steerer, key flowKey, service string) float64 {
	return s.throttler.Check(throttler.Request{Caller: key.caller.Addr(), Service: service, Overloaded: true}, s.now).FairShare
}

// Guards against a caller whose ended flows count forever: when a flow is forwarded to a
// service and its target serves another one before it ends (the target restarted under its ID
// in that service, or a retransmission of the opening packet went there after the route's
// weights changed), the end must count for the original service.
func TestFlowEndIsCountedForItsOriginalService(t *testing.T) {
	s := New(Config{Self: "a1", AvailabilityZone: "a", MaxFlows: 100})
	s.now = timekeeper.Instant(time.Second)
	moved, f := forwardedFlow(t, s, "203.0.113.9:1000", "ledger")
	s.moveFlow(f, &target{Target: Target{Service: "intake"}})
	s.forgetFlow(moved, f)
	stayed, f := forwardedFlow(t, s, "198.51.100.7:1000", "ledger")
	s.forgetFlow(stayed, f)
	s.now = s.now.Add(time.Minute)
	key, f := forwardedFlow(t, s, "192.0.2.1:1000", "ledger")
	s.forgetFlow(key, f)
	for range 20 {
		fairShare(s, key, "ledger")
	}
	s.now = s.now.Add(200 * time.Millisecond)
	require.InEpsilon(t, fairShare(s, stayed, "ledger"), fairShare(s, moved, "ledger"), 0.01)
}
