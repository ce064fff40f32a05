package reducer_test

import (
	"fmt"
	"net/netip"
	"os/exec"
	"slices"
	"strings"
	"testing"
	"time"

	"cranberryspan.dev/core/driver"
	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/reducer"
	"cranberryspan.dev/core/resolver"
	"github.com/stretchr/testify/require"
)

// threeZoneTree returns settings with eight hosts in three zones and two services.
func threeZoneTree() driver.SettingsTree {
	return driver.SettingsTree{
		HostsPerZone: []int{3, 3, 2},
		Services: []driver.SettingsService{
			{TargetNumbers: intRange(1, 14), AddressNumber: 1},
			{TargetNumbers: intRange(21, 24), AddressNumber: 2},
		},
		Defaults: []string{"exchangeLifetime: 10s", "flowMemory: 5m", "slots: 50"},
	}
}

func intRange(from, to int) []int {
	var list []int
	for n := from; n <= to; n++ {
		list = append(list, n)
	}
	return list
}

// newFleet starts every host of a tree and waits until all are ready.
func newFleet(t testing.TB, tree driver.SettingsTree) *driver.Simulation {
	t.Helper()
	f := driver.New(1, tree.Document())
	f.Start(tree.HostNames()...)
	waitReady(t, f, tree.HostNames()...)
	return f
}

func waitReady(t testing.TB, f *driver.Simulation, names ...string) {
	t.Helper()
	ready := func() bool {
		for _, name := range names {
			if !f.Reducer(name).Ready() {
				return false
			}
		}
		return true
	}
	require.True(t, f.StepUntil(30*time.Second, ready), "hosts are not ready")
	// Let every host receive the last change of phase.
	f.Step(time.Second)
}

const (
	opens      = messenger.FlagOpensFlow
	idempotent = messenger.FlagIdempotent
	stream     = messenger.FlagStream
	block      = messenger.FlagBlockwise
	openRead   = opens | idempotent
	openWrite  = opens
)

// requestID returns the ID of a request of caller n. Requests with different numbers
// have different message IDs and tokens.
func requestID(n int, service, number int) driver.RequestID {
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 168, byte(n >> 8), byte(n)}), 40000)
	exchange := messenger.Exchange{MessageID: uint16(number), Token: uint64(number), TokenLength: 8}
	return driver.RequestID{Caller: caller, Service: driver.ServiceAddress(service), Exchange: exchange}
}

func requestPacket(flags messenger.Flags) messenger.Packet {
	return messenger.Packet{Kind: messenger.KindRequest, Flags: flags | messenger.FlagConfirmable}
}

func controlPacket() messenger.Packet { return messenger.Packet{Kind: messenger.KindControl} }

func flowKeyOf(id driver.RequestID, service int) resolver.FlowKey {
	key, _ := resolver.NewFlowKey(id.Caller, resolver.ServiceID(service))
	return key
}

func ownerOf(f *driver.Simulation, id driver.RequestID, service int) string {
	for _, name := range f.HostNames() {
		if f.Running(name) {
			return f.Reducer(name).Owner(flowKeyOf(id, service))
		}
	}
	return ""
}

// targetsOf returns the targets that packets of a request reached.
func targetsOf(f *driver.Simulation, id driver.RequestID) []netip.AddrPort {
	var targets []netip.AddrPort
	for _, p := range f.TargetPackets {
		if p.ID == id && !slices.Contains(targets, p.Target) {
			targets = append(targets, p.Target)
		}
	}
	return targets
}

// targetOf returns the only target that packets of a request reached, or fails.
func targetOf(t testing.TB, f *driver.Simulation, id driver.RequestID) netip.AddrPort {
	t.Helper()
	targets := targetsOf(f, id)
	require.Len(t, targets, 1, "request %v", id)
	return targets[0]
}

func answered(f *driver.Simulation, id driver.RequestID) bool {
	return slices.ContainsFunc(f.Responses, func(a driver.CallerResponse) bool { return a.ID == id && a.Caller == id.Caller })
}

func replyTo(f *driver.Simulation, id driver.RequestID) (driver.CallerReply, bool) {
	for _, r := range f.Replies {
		if r.ID == id {
			return r, true
		}
	}
	return driver.CallerReply{}, false
}

// requireAtMostOnce checks the two guarantees about requests: no non-idempotent
// request ran more than once, and no request ran that was reported as not run.
func requireAtMostOnce(t testing.TB, f *driver.Simulation) {
	t.Helper()
	for _, target := range f.Targets() {
		for id, n := range target.Executions {
			if f.IsNonIdempotent(id) {
				require.LessOrEqual(t, f.Executions(id), 1, "request %v ran %d times here: %s", id, n, sendTrace(f, id))
			}
		}
	}
	for _, r := range f.Replies {
		if r.Outcome == reducer.OutcomeNotRun {
			require.Zero(t, f.Executions(r.ID), "request %v ran after it was refused as not run (%v)", r.ID, r.Reason)
		}
	}
}

// sendTrace describes which hosts sent a request to which targets, and when.
func sendTrace(f *driver.Simulation, id driver.RequestID) string {
	var b strings.Builder
	for _, p := range f.TargetPackets {
		if p.ID == id {
			fmt.Fprintf(&b, "by %s to %v at %v; ", p.Host, p.Target, time.Duration(p.At))
		}
	}
	return b.String()
}

// Guards against dependencies that keep an external harness from linking the reducer
// without the network code of the daemon.
func TestReducerHasNoNetworkDependencies(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", ".").Output()
	require.NoError(t, err)
	for _, path := range strings.Fields(string(out)) {
		require.NotContains(t, []string{"net", "net/http", "os/exec", "go.uber.org/zap", "github.com/uber-go/tally/v4"}, path)
	}
}
