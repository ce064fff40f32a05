package steerer

import (
	"fmt"
	"testing"
	"time"

	"cranberryspan.dev/core/limiter"
	"cranberryspan.dev/core/sequencer"
	"cranberryspan.dev/core/timekeeper"
	"github.com/stretchr/testify/require"
)

// The limiter takes its silence from how often hosts report.
func TestSilenceOfLargeZonesFollowsTheReports(t *testing.T) {
	require.Equal(t, reportEvery, limiter.NearEvery)
	require.Equal(t, nearFanout, limiter.NearFanout)
}

// Symptom: in a large zone hosts take full targets to be empty. Sequence: 100 hosts tell each
// other of flows at 300 targets; 120 fit into a report. Cause: all receivers share the turns
// of a report, so some targets come to some hosts only, and those without flows take places in
// it.
func TestEachHostOfALargeZoneHearsOfAllTargets(t *testing.T) {
	s := New(Config{Self: "a1", AvailabilityZone: "a", Start: timekeeper.Instant(time.Second)})
	s.connections.tight["ledger"] = &tightService{name: "ledger", bound: 40}
	for n := range 600 {
		record := Target{ID: fmt.Sprintf("i-%04d", n), Number: Number(n + 1), Service: "ledger", AvailabilityZone: "a"}
		one, _ := s.targets.put(record, sequencer.Position{})
		if n%2 == 0 {
			s.connections.limiter.Target(uint32(one.tag)).Placed(s.now)
		}
	}
	var receivers []*peer
	for n := range 99 {
		receivers = append(receivers, &peer{name: fmt.Sprint(n), zone: "a"})
	}
	for _, to := range receivers {
		heard := map[uint32]bool{}
		for range 3 {
			flows := s.toldFlows(to)
			require.Len(t, flows, maxToldFlows)
			for tag := range flows {
				heard[tag] = true
			}
		}
		require.Len(t, heard, 300)
	}
}
