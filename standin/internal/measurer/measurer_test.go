package measurer_test

import (
	"testing"

	"cranberryspan.dev/standin/internal/measurer"
	"github.com/stretchr/testify/require"
)

// Guards against costs that grow faster than planned. The bounds are counts and ratios within one
// run, since times depend on the machine.
func TestCostsGrowWithinBounds(t *testing.T) {
	small, large := measurer.MeasureFleet(30), measurer.MeasureFleet(120)
	require.Less(t, large.MessagesPerSecond/small.MessagesPerSecond, 1.5, "messages a host: %.1f and %.1f", small.MessagesPerSecond, large.MessagesPerSecond)
	require.Less(t, large.MaxBytesPerSecond, float64(measurer.MaxControlBytesPerSecond))
	require.LessOrEqual(t, large.Propagation, measurer.MaxPropagation)
	require.Equal(t, small.PlatformReads, large.PlatformReads, "reads of the platform do not grow with hosts")

	settings := measurer.MeasureSettings(measurer.PlannedTargets, measurer.PlannedServices)
	require.Less(t, settings.DocumentBytes, 1<<20)
	require.Less(t, settings.MemoryBytes, measurer.MaxMemoryBytes/2)

	few, many := measurer.MeasureFlows(31_000), measurer.MeasureFlows(250_000)
	require.Less(t, many.BytesPerFlow, 128.0)
	require.Less(t, few.BytesPerFlow, 128.0)

	require.Less(t, measurer.MeasureRequests(200).BytesPerRequest, 250.0)
	handover := measurer.MeasureHandover(5000)
	require.Less(t, float64(handover.Bytes)/float64(handover.Flows), 60.0)
}
