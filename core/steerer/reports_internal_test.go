package steerer

import (
	"net/netip"
	"testing"
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/sequencer"
	"cranberryspan.dev/core/timekeeper"
	"github.com/stretchr/testify/require"
)

// A host reports load at a target that this host does not know yet; this host learns of the
// target; a second host reports load there; the first one reports again. Guards against
// subtracting load that was never added, which makes a busy target look idle and attracts new
// flows.
func TestLoadOfUnknownTargetIsNotSubtracted(t *testing.T) {
	at := timekeeper.Instant(time.Second)
	s := New(Config{Self: "a1", AvailabilityZone: "a", Start: at, MaxFlows: 10})
	report := func(from string, inFlight uint16) {
		s.Reduce(&ReportReceived{At: at, From: from, Report: &messenger.Report{
			Address: netip.MustParseAddrPort("10.0.0.1:7000"), AvailabilityZone: "a", Incarnation: 1, InFlight: map[uint32]uint16{7: inFlight},
		}})
	}
	report("a2", 5)
	s.Reduce(&TargetsRead{At: at, Started: at, List: TargetList{Position: sequencer.At(0, 1), Targets: []Target{{ID: "i-7", Number: 7, Service: "ledger", Slots: 3}}}})
	report("a3", 4)
	report("a2", 0)
	require.Equal(t, 4, s.targets.byID["i-7"].peersInFlight)
}
