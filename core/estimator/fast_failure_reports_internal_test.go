package estimator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cranberryspan.dev/core/timekeeper"
	"github.com/stretchr/testify/require"
)

// Symptom: memory grows with hosts times targets. Sequence: each host of a large zone
// says at times that a target's answers come too quickly. Cause: a report of each is kept.
// Two of them are as good as all, since nobody asks for more than two.
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
