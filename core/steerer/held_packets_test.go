package steerer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cranberryspan.dev/core/steerer"
	"github.com/stretchr/testify/require"
)

// restartBeforeFirstRead restarts a host, and lets it receive packets before its first reads
// complete.
func restartBeforeFirstRead(f *fleet, name string, beforeFirstRead func()) {
	f.kill(name)
	f.step(100 * time.Millisecond)
	f.hosts[name].sent = nil
	f.start(name)
	beforeFirstRead()
	require.Empty(f.t, f.hosts[name].sent, "nothing is known yet")
}

// Guards against callers being served a second or more after the hosts are back from a loss
// of all hosts: when a host starts and reads the platform, the fabric hands it packets that
// callers have already retransmitted. If it dropped them, the next retransmission would
// come after 0.4 to 1.6 s, although it could forward them a few milliseconds later.
func TestPacketsBeforeFirstReadAreHeld(t *testing.T) {
	f := newFleet(t, 1)
	open := f.caller(1, readRoute)
	open.open("a1", 0)
	open.establish("a1")
	fresh := f.caller(2, checkRoute)
	restartBeforeFirstRead(f, "a1", func() {
		open.sendRequest("a1")
		fresh.open("a1", 0)
	})
	f.step(steerer.TickInterval)
	require.Len(t, f.hosts["a1"].sent, 2)
	require.Equal(t, open.target, f.hosts["a1"].sent[0].target)
	require.NotZero(t, f.hosts["a1"].sent[1].tag)
}

// Guards against all long-lived flows stalling for two seconds after a loss of all hosts:
// when hosts with small links read a large settings document, they have their targets after
// a few milliseconds, and the tags of established flows suffice to forward packets.
func TestEstablishedFlowsDoNotWaitForSettings(t *testing.T) {
	f := newFleet(t, 1)
	open, early := f.caller(1, readRoute), f.caller(2, checkRoute)
	for _, c := range []*caller{open, early} {
		c.open("a1", 0)
		c.establish("a1")
	}
	f.settingsReadTime = 2 * time.Second
	restartBeforeFirstRead(f, "a1", func() { early.sendRequest("a1") })
	f.step(steerer.TickInterval)
	open.sendRequest("a1")
	require.Len(t, f.hosts["a1"].sent, 2)
	require.Equal(t, early.target, f.hosts["a1"].sent[0].target, "it came before the targets were known")
	require.Equal(t, open.target, f.hosts["a1"].sent[1].target)
	fresh := f.caller(3, checkRoute)
	fresh.open("a1", 0)
	require.Len(t, f.hosts["a1"].sent, 2, "a new flow needs its route")
	require.False(t, f.hosts["a1"].steerer.Ready())
}

// Guards against unused flows at targets, and needless probes: when a caller's packet and
// its retransmission both wait for the host's first read, forwarding both would look as if
// the first had been lost.
func TestRetransmissionsOfHeldPacketsAreNotHeld(t *testing.T) {
	f := newFleet(t, 1)
	open := f.caller(1, readRoute)
	open.open("a1", 0)
	open.establish("a1")
	fresh := f.caller(2, checkRoute)
	probes := f.probes
	restartBeforeFirstRead(f, "a1", func() {
		open.sendRequest("a1")
		open.retransmit("a1")
		fresh.open("a1", 0)
		fresh.open("a1", 1)
	})
	f.step(steerer.TickInterval)
	require.Len(t, f.hosts["a1"].sent, 2)
	require.Equal(t, probes, f.probes)
}

// Guards against targets receiving packets whose callers gave up long ago: when a host
// starts while neither the platform nor another host responds, and learns its targets
// seconds later, held packets must be limited in time and number.
func TestHeldPacketsAreBounded(t *testing.T) {
	f := newFleet(t, 1)
	fresh := f.caller(1, checkRoute)
	f.down = true
	restartBeforeFirstRead(f, "a1", func() { fresh.open("a1", 0) })
	f.step(3 * time.Second)
	f.down = false
	f.step(3 * time.Second)
	require.True(t, f.hosts["a1"].steerer.Ready())
	require.Empty(t, f.hosts["a1"].sent)
	require.EqualValues(t, 1, f.hosts["a1"].steerer.Snapshot().Counters[steerer.DropNotReady])

	restartBeforeFirstRead(f, "a1", func() {
		for n := range 5000 {
			f.caller(n, checkRoute).open("a1", 0)
		}
	})
	f.step(steerer.TickInterval)
	require.Less(t, len(f.hosts["a1"].sent), 1000)
}

// Guards against a log without any flows right after a start, and a small host being late
// to forward packets: when a host of a large fleet reads all targets at once, a line for
// each would use up the log's rate limit.
func TestFirstTargetListIsLoggedInOneLine(t *testing.T) {
	f := newFleet(t, 1)
	for n := range 500 {
		f.addTarget(fmt.Sprintf("i-3%07x", n+1), "ledger", "a")
	}
	f.kill("a1")
	f.hosts["a1"].logs = nil
	f.start("a1")
	f.step(time.Second)
	var about []string
	for _, line := range f.hosts["a1"].logs {
		if strings.HasPrefix(line.Event, "target") {
			about = append(about, line.Event)
		}
	}
	require.Equal(t, []string{"targetsKnown"}, about)
	f.drain("i-30000001")
	f.step(2 * time.Second)
	last := f.hosts["a1"].logs[len(f.hosts["a1"].logs)-1]
	require.Equal(t, "targetChanged", last.Event)
}
