package measurer_test

import (
	"testing"

	"cranberryspan.dev/standin/internal/measurer"
	"github.com/stretchr/testify/require"
)

// Regression bounds of the slopes, as counts and ratios within one run.
func TestSlopesStayWithinBounds(t *testing.T) {
	small, large := measurer.Fleet(30), measurer.Fleet(120)
	require.Less(t, large.Messages/small.Messages, 1.5, "messages a host: %.1f and %.1f", small.Messages, large.Messages)
	require.Less(t, large.MaxBytes, float64(measurer.BoundControlBytes))
	require.LessOrEqual(t, large.Propagation, measurer.BoundPropagation)
	require.Equal(t, small.Reads, large.Reads, "reads of the platform do not grow with hosts")

	settings := measurer.Settings(measurer.TargetTargets, measurer.TargetServices)
	require.Less(t, settings.Bytes, 1<<20)
	require.Less(t, settings.Memory, measurer.BoundMemoryBytes/2)

	few, many := measurer.Flows(31_000), measurer.Flows(250_000)
	require.Less(t, many.BytesAFlow, 128.0)
	require.Less(t, few.BytesAFlow, 128.0)

	require.Less(t, measurer.Requests(200).BytesARequest, 250.0)
	handover := measurer.Handover(5000)
	require.Less(t, float64(handover.Bytes)/float64(handover.Flows), 60.0)
}
