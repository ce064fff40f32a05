package steerer

import (
	"fmt"
	"testing"

	"cranberryspan.dev/core/messenger"
	"github.com/stretchr/testify/require"
)

// Symptom: reports to other zones are lost. Sequence: dozens of services are short of
// connections. Cause: an entry for each of them, more than a datagram holds.
func TestZoneFlowsFitIntoAReport(t *testing.T) {
	s := New(Config{Self: "a1", AvailabilityZone: "a"})
	for n := range 3 * maxDemands {
		name := fmt.Sprintf("service-%02d", n)
		s.connections.tight[name] = &tightService{name: name, homeMean: n + 1}
	}
	told := map[string]bool{}
	for range 3 * maxDemands {
		report := &messenger.Report{ZoneDemands: []messenger.ServiceDemand{{Service: "service-05"}}}
		s.addZoneFlows(report)
		require.LessOrEqual(t, len(report.ZoneDemands), maxDemands)
		require.NotZero(t, report.ZoneDemands[0].Flows, "an entry that is there already takes no more room")
		for _, d := range report.ZoneDemands {
			told[d.Service] = true
		}
	}
	require.Len(t, told, 3*maxDemands, "all have their turn")
}
