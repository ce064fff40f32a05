package steerer_test

import (
	"testing"
	"time"

	"cranberryspan.dev/core/steerer"
	"github.com/stretchr/testify/require"
)

// Operators look up why a target gets no new flows; each reason has its own text.
func TestTargetStatusGivesAvoidReason(t *testing.T) {
	f := newFleet(t, 1)
	f.drain("i-10000001")
	f.remove("i-10000002")
	warming := f.targets["i-10000003"]
	warming.WarmUp = time.Minute
	f.targets["i-10000003"] = warming
	f.step(2 * time.Second)
	stalled := f.caller(1, readRoute)
	stalled.open("a1", 0)
	f.probeOutcomes[stalled.target] = steerer.ProbeConnectTimeout
	stalled.establish("a1")
	stalled.sendRequest("a1")
	f.step(250 * time.Millisecond)
	stalled.retransmit("a1")
	f.step(400 * time.Millisecond)

	reasons := map[string]string{}
	for _, status := range f.hosts["a1"].steerer.TargetStatuses() {
		reasons[status.Target] = status.AvoidReason
	}
	require.Len(t, reasons, 9)
	require.Equal(t, "draining", reasons["i-10000001"])
	require.Contains(t, reasons["i-10000002"], "no longer listed")
	require.Contains(t, reasons["i-10000003"], "slow for")
	require.Contains(t, reasons[stalled.target], "no answer for")
	require.Empty(t, reasons["i-20000001"])
}

// Operators look up why a host is outdated: what it has, how old that is, and where it came
// from.
func TestSyncStatusNamesSources(t *testing.T) {
	f := newFleet(t, 2)
	f.deniedHosts["a2"] = true
	f.settings = newSettings(2, routes())
	f.step(3 * time.Second)
	reader, other := f.hosts["a1"].steerer.SyncStatus(), f.hosts["a2"].steerer.SyncStatus()
	require.Equal(t, uint64(2), other.Version)
	require.Equal(t, "platform", reader.SettingsFrom)
	require.Equal(t, "a1", other.SettingsFrom)
	require.Equal(t, "platform", reader.TargetsConfirmedBy)
	require.Equal(t, "a1", other.TargetsConfirmedBy)
	require.Less(t, other.SettingsAge, 3*time.Second)
	require.Equal(t, 1, other.AlivePeers)
	require.Equal(t, 1, reader.Rank+other.Rank)
	f.deniedHosts["a1"] = true
	f.step(3 * time.Second)
	require.True(t, f.hosts["a1"].steerer.SyncStatus().PlatformDown)
}
