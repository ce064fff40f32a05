package steerer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a host scanning all its targets for scarce connections several times a
// second while hardly any are used.
func TestTargetsAreNotScannedWhenConnectionsAreNotScarce(t *testing.T) {
	s := hostWithTargets(12_000)
	s.settings = NewSettings(2, nil, []Service{{Name: "ledger", MaxConnections: 2000}}, 15*time.Second)
	s.openFlows(t, 100)
	before := s.targets.entriesVisited
	for range 20 {
		s.now = s.now.Add(connectionCheckInterval)
		s.connectionTick()
	}
	require.Equal(t, before, s.targets.entriesVisited)
	require.Empty(t, s.connections.constrained)
}

// Guards against a service running out of connections unnoticed because its targets are not
// scanned.
func TestServiceRunningOutOfConnectionsIsScanned(t *testing.T) {
	s := hostWithTargets(100)
	s.settings = NewSettings(2, nil, []Service{{Name: "ledger", MaxConnections: 3}}, 15*time.Second)
	s.openFlows(t, 110)
	s.now = s.now.Add(connectionCheckInterval)
	s.connectionTick()
	require.Contains(t, s.connections.constrained, "ledger")
}

// openFlows adds established flows at the targets of the ledger service, in round-robin
// order.
func (s *Steerer) openFlows(t *testing.T, count int) {
	t.Helper()
	all := s.targets.byService["ledger"]
	for n := range count {
		caller := netip.MustParseAddrPort(fmt.Sprintf("100.64.%d.%d:40000", n/250, 1+n%250))
		f := &flow{target: all[n%len(all)], route: Route{Name: "read"}, established: true, openingSentAt: s.now, lastPacket: s.now}
		require.True(t, s.rememberFlow(flowKey{caller: caller}, f))
	}
}
