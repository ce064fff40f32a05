package estimator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cranberryspan.dev/core/timekeeper"
	"github.com/stretchr/testify/require"
)

// Guards against memory that grows with hosts times targets: when each host of a large zone
// occasionally reports fast failures of a target, a report of each host would be kept. Two
// reports are enough, since no decision depends on more than two.
func TestBoundedFastFailureReportsMatchUnboundedCount(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	var reports fastFailureReports
	all := map[string]timekeeper.Instant{}
	now := timekeeper.Instant(time.Second)
	for range 5000 {
		now = now.Add(time.Duration(random.IntN(int(2 * time.Second))))
		host := fmt.Sprint(random.IntN(6))
		reports.add(host, now.Add(fastFailureWindow))
		all[host] = now.Add(fastFailureWindow)
		later := now.Add(time.Duration(random.IntN(int(4 * time.Second))))
		count := 0
		for _, deadline := range all {
			if !deadline.Passed(later) {
				count++
			}
		}
		require.Equal(t, min(count, fastFailureThreshold), reports.count(later))
	}
}
