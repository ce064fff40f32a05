package steerer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Symptom: a host's memory grows with each change of settings. Sequence: routes come and go
// at a service that stays. Cause: times of work that are kept for routes that are gone.
func TestProcessingTimesOfRemovedRoutesAreDropped(t *testing.T) {
	s := New(Config{Self: "a1", AvailabilityZone: "a"})
	for n := range 100 {
		route := Route{Name: fmt.Sprintf("r%d", n), LatencyObjective: time.Second}
		s.applySettings(NewSettings(uint64(n+1), []Route{route}, []Service{{Name: "ledger"}}, 15*time.Second), nil, "platform")
		s.service("ledger").room.recordProcessingTime(&route, 50*time.Millisecond)
	}
	require.Len(t, s.services["ledger"].room.processingTimes, 1)
	s.applySettings(NewSettings(200, nil, []Service{{Name: "ledger"}}, 15*time.Second), nil, "platform")
	require.Empty(t, s.services["ledger"].room.processingTimes)
}
