package detector_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cranberryspan.dev/core/detector"
	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/resolver"
	"cranberryspan.dev/core/timekeeper"
	"github.com/stretchr/testify/require"
)

// network connects detectors by links that deliver within one tick.
type network struct {
	now       timekeeper.Instant
	detectors map[string]*detector.Detector
	names     []string
	cutLinks  map[[2]string]bool
	sent      int
}

const tick = 20 * time.Millisecond

func newNetwork(cells map[string]int) *network {
	n := &network{now: timekeeper.Instant(time.Second), detectors: map[string]*detector.Detector{}, cutLinks: map[[2]string]bool{}}
	var hosts []resolver.Host
	for cell, size := range cells {
		for i := range size {
			name := fmt.Sprintf("%s%d", cell, i+1)
			hosts = append(hosts, resolver.Host{Name: name, Cell: cell})
			n.names = append(n.names, name)
		}
	}
	slices.Sort(n.names)
	slices.SortFunc(hosts, func(a, b resolver.Host) int { return slices.Index(n.names, a.Name) - slices.Index(n.names, b.Name) })
	for i, name := range n.names {
		d := detector.New(name, 10, uint64(i), detector.DefaultTiming(), n.now, nil)
		d.SetHosts(hosts, 1, n.now)
		d.SetPhase(messenger.PhaseReady)
		n.detectors[name] = d
	}
	return n
}

func (n *network) step(duration time.Duration, paused ...string) {
	for end := n.now.Add(duration); n.now < end; n.now = n.now.Add(tick) {
		for _, name := range n.names {
			if !slices.Contains(paused, name) {
				n.detectors[name].Tick(n.now)
			}
		}
		for _, name := range n.names {
			for _, out := range n.detectors[name].TakeOutgoing() {
				n.sent++
				if !n.cutLinks[[2]string{name, out.To}] && !slices.Contains(paused, out.To) {
					n.detectors[out.To].Receive(name, out.Body, n.now)
				}
			}
		}
	}
}

func (n *network) partition(group ...string) {
	for _, a := range n.names {
		for _, b := range n.names {
			if slices.Contains(group, a) != slices.Contains(group, b) {
				n.cutLinks[[2]string{a, b}] = true
			}
		}
	}
}

// Guards against both sides of a partition acting, or neither: a cell is split in
// two in every possible way, or a sample of them if it is large. Quorums that do not
// intersect would give each side one.
func TestPartitionLeavesExactlyOneQuorum(t *testing.T) {
	for _, size := range []int{2, 3, 4, 5, 8} {
		for split := 0; split < 1<<size; split++ {
			n := newNetwork(map[string]int{"a": size})
			n.step(3 * time.Second)
			var group []string
			for i, name := range n.names {
				if split>>i&1 == 1 {
					group = append(group, name)
				}
			}
			n.partition(group...)
			n.step(4 * time.Second)
			sides := map[bool]bool{}
			for _, name := range n.names {
				if n.detectors[name].HasQuorum(n.now) {
					sides[slices.Contains(group, name)] = true
				}
			}
			require.Len(t, sides, 1, "cell of %d split into %v and the rest", size, group)
			if size == 8 {
				split += 12 // Test only a sample of the splits of a large cell.
			}
		}
	}
}

// Guards against a host declaring every peer dead after a pause: a host is paused
// for 30 s, and on resuming would mistake its own pause for unresponsive peers.
func TestPausedHostDeclaresNoPeerDead(t *testing.T) {
	n := newNetwork(map[string]int{"a": 3, "b": 3})
	n.step(5 * time.Second)
	n.step(30*time.Second, "a2")
	n.detectors["a2"].RecordPause(n.now)
	require.False(t, n.detectors["a2"].HasQuorum(n.now), "its votes ended while it slept")
	require.True(t, n.detectors["a1"].ConfirmedDead("a2"))
	n.step(time.Second)
	for _, name := range n.names {
		if name != "a2" {
			require.Equal(t, messenger.LivenessAlive, n.detectors["a2"].State(name).Liveness, name)
		}
	}
	require.True(t, n.detectors["a2"].Rejoined(), "it has to join anew")
	require.False(t, n.detectors["a1"].ConfirmedDead("a2"), "its new incarnation is welcome")
}

// Guards against a vote for a host that the voter has declared dead: a host is
// paused and declared dead, then a ping that it sent earlier arrives late, and is
// answered with a vote without regard to the voter's state of the host.
func TestDeadHostGetsNoVote(t *testing.T) {
	n := newNetwork(map[string]int{"a": 3})
	n.step(3 * time.Second)
	n.step(5*time.Second, "a2")
	require.True(t, n.detectors["a1"].ConfirmedDead("a2"))
	n.detectors["a1"].Receive("a2", &messenger.Ping{Sequence: 7, Heartbeat: messenger.Heartbeat{Incarnation: 10, Phase: messenger.PhaseReady}}, n.now)
	out := n.detectors["a1"].TakeOutgoing()
	require.Len(t, out, 1)
	require.Empty(t, out[0].Body.(*messenger.Ack).Heartbeat.Votes)
	require.NotEmpty(t, out[0].Body.(*messenger.Ack).Heartbeat.WithheldVotes)
}

// Guards against hosts of another zone staying dead after a partition heals: a zone
// is partitioned and reconnects, but no host refutes the member states that were
// spread meanwhile.
func TestZoneRecoversAfterPartition(t *testing.T) {
	n := newNetwork(map[string]int{"a": 2, "b": 3, "c": 3})
	n.step(10 * time.Second)
	n.partition("a1", "a2")
	n.step(20 * time.Second)
	require.Equal(t, messenger.LivenessDead, n.detectors["b1"].State("a1").Liveness)
	require.True(t, n.detectors["a1"].HasQuorum(n.now), "its own cell is whole")
	clear(n.cutLinks)
	n.step(15 * time.Second)
	for _, from := range n.names {
		for _, to := range n.names {
			if from != to {
				require.Equal(t, messenger.LivenessAlive, n.detectors[from].State(to).Liveness, "%s about %s", from, to)
			}
		}
	}
}

// Guards against a host being declared dead because of a single link: the link
// between two hosts of different zones breaks, and no other host is asked to ping.
func TestSingleLinkFailureDeclaresNoHostDead(t *testing.T) {
	n := newNetwork(map[string]int{"a": 3, "b": 3})
	n.step(5 * time.Second)
	n.cutLinks[[2]string{"a1", "b1"}], n.cutLinks[[2]string{"b1", "a1"}] = true, true
	for range 30 {
		n.step(time.Second)
		require.NotEqual(t, messenger.LivenessDead, n.detectors["a1"].State("b1").Liveness)
	}
}

// The message rate of a host must not grow with the fleet: heartbeats go to the
// local cell and to one other host per interval.
func TestHeartbeatRateIndependentOfFleetSize(t *testing.T) {
	perHost := func(cells int) float64 {
		sizes := map[string]int{}
		for i := range cells {
			sizes[fmt.Sprintf("%c", 'a'+i)] = 6
		}
		n := newNetwork(sizes)
		n.step(5 * time.Second)
		n.sent = 0
		n.step(10 * time.Second)
		return float64(n.sent) / 10 / float64(len(n.names))
	}
	small, large := perHost(2), perHost(20)
	require.Less(t, large/small, 1.1, "%.1f messages a second with 12 hosts, %.1f with 120", small, large)
}

func TestTimingCheck(t *testing.T) {
	require.NoError(t, detector.DefaultTiming().Check())
	for name, change := range map[string]func(*detector.Timing){
		"short lease": func(t *detector.Timing) { t.Lease = t.PingInterval },
		"no drift":    func(t *detector.Timing) { t.Grant = t.Lease },
		"dead early":  func(t *detector.Timing) { t.DeadAfter = t.Lease },
	} {
		timing := detector.DefaultTiming()
		change(&timing)
		var failure *detector.Error
		require.ErrorAs(t, timing.Check(), &failure, name)
	}
}
