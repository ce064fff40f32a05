package steerer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against memory that grows with each change of the settings: when routes come and go
// at a service that stays, the processing times of removed routes must be dropped.
func TestProcessingTimesOfRemovedRoutesAreDropped(t *testing.T) {
	s := New(Config{Self: "a1", AvailabilityZone: "a"})
	for n := range 100 {
		route := Route{Name: fmt.Sprintf("r%d", n), LatencyObjective: time.Second}
		s.applySettings(NewSettings(uint64(n+1), []Route{route}, []Service{{Name: "ledger"}}, 15*time.Second), nil, "platform")
		s.service("ledger").capacity.recordProcessingTime(&route, 50*time.Millisecond)
	}
	require.Len(t, s.services["ledger"].capacity.processingTimes, 1)
	s.applySettings(NewSettings(200, nil, []Service{{Name: "ledger"}}, 15*time.Second), nil, "platform")
	require.Empty(t, s.services["ledger"].capacity.processingTimes)
}
