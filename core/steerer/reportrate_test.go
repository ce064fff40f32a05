package steerer_test

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a report for every change: while targets are replaced, each tick of each
// host brings changes, and reports would take up the hosts' processor time.
func TestSteadyChangesDoNotRaiseReportRate(t *testing.T) {
	h, f := newLargeHost(largeFleets[0]), &fleet{}
	h.runSecond(f, 0, 3)
	h.sent = nil
	for range 5 {
		h.runSecond(f, 0, 3)
	}
	require.LessOrEqual(t, len(h.sent), 5*16+3*4, "four rounds a second, and those that news may begin early")
}

// Guards against reporting the crash of a target only with the next regular round.
func TestSingleChangeIsReportedImmediately(t *testing.T) {
	h := newLargeHost(largeFleets[0])
	h.runIdleSecond()
	for len(h.sent) == 0 {
		h.tick()
	}
	h.sent = nil // The next round is not due for a while.
	h.receiveChanges(1)
	h.tick()
	require.NotEmpty(t, h.sent)
}
