package comparer_test

import (
	"testing"

	"cranberryspan.dev/core/comparer"
	"github.com/stretchr/testify/require"
)

// Guards against broken flows, with a fixed seed: the load balancer breaks no flow in a planned
// change and never more flows than a baseline policy, and each host sends at most 4096 control
// bytes per second.
func TestSystemBreaksNoMoreFlowsThanBaselines(t *testing.T) {
	for _, s := range comparer.Scenarios() {
		t.Run(s.Name, func(t *testing.T) {
			var broken []int
			for _, p := range comparer.Policies() {
				result := comparer.RunScenario(p, s, 1)
				broken = append(broken, result.BrokenFlows)
				if _, ok := p.(comparer.Cranberryspan); ok {
					t.Logf("%s: broken %d of %d, %.0f control bytes a second, hops %.2f", comparer.PolicyName(p), result.BrokenFlows, result.Flows, result.ControlBytesPerSecond, comparer.ForwardsPerCallerPacket(result))
					require.LessOrEqual(t, result.ControlBytesPerSecond, 4096.0)
				} else {
					t.Logf("%s: broken %d of %d", comparer.PolicyName(p), result.BrokenFlows, result.Flows)
				}
			}
			systemBroken := broken[len(broken)-1]
			if s.Planned {
				require.Zero(t, systemBroken)
			}
			for _, policyBroken := range broken {
				require.LessOrEqual(t, systemBroken, policyBroken)
			}
		})
	}
}

// Guards against uneven placement, with a fixed seed: the load balancer distributes flows at
// least as evenly as the best baseline policy, and skewed load more evenly than each of them.
func TestSystemSpreadsLoadAtLeastAsEvenlyAsBaselines(t *testing.T) {
	for _, skewed := range []bool{false, true} {
		var all []comparer.Balance
		for _, p := range comparer.Policies() {
			b := comparer.MeasureBalance(p, skewed, 1)
			all = append(all, b)
			t.Logf("skewed %v, %s: variation of flows %.3f, of work %.3f", skewed, comparer.PolicyName(p), b.FlowVariation, b.LoadVariation)
		}
		systemBalance := all[len(all)-1]
		for _, baseline := range all[:len(all)-1] {
			if skewed {
				require.Less(t, systemBalance.LoadVariation, baseline.LoadVariation)
			} else {
				require.LessOrEqual(t, systemBalance.FlowVariation, baseline.FlowVariation)
			}
		}
	}
}
