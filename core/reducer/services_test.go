package reducer_test

import (
	"net/netip"
	"testing"
	"time"

	"cranberryspan.dev/core/driver"
	"cranberryspan.dev/core/timekeeper"
	"github.com/stretchr/testify/require"
)

// Guards against packets that reach a target of another service: when a target's
// address moves from one service to another, or two services swap addresses, while
// hosts are a revision apart and packets are in flight, a host with older settings
// still sends packets of the old service to the address, and a host with newer ones
// sends packets of the new service before the others have stopped.
func TestNoPacketCrossesServices(t *testing.T) {
	const inForceWithin = 9 * time.Second
	moved := threeZoneTree()
	moved.Services[0].TargetNumbers = append(intRange(1, 14), 24)
	moved.Services[1].TargetNumbers = intRange(21, 23)
	swapped := threeZoneTree()
	swapped.Services[0].TargetNumbers = intRange(21, 24)
	swapped.Services[1].TargetNumbers = intRange(1, 14)
	tests := []struct {
		name string
		tree driver.SettingsTree
		skew func(f *driver.Simulation)
	}{
		{"target moves", moved, func(*driver.Simulation) {}},
		{"targets swapped", swapped, func(*driver.Simulation) {}},
		{"target moves, zone cut from the platform", moved, func(f *driver.Simulation) {
			for _, name := range []string{"a1", "a2", "a3"} {
				f.SetPlatformCut(name, true)
			}
		}},
		{"target moves, host paused", moved, func(f *driver.Simulation) { f.Pause("b1") }},
		{"targets swapped, host cut off from all", swapped, func(f *driver.Simulation) {
			f.SetPlatformCut("c1", true)
			f.Partition("c1")
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t, threeZoneTree())
			sendNewFlows(f, 20)
			test.skew(f)
			published := f.Now
			f.Publish(test.tree.Document())
			for range 30 {
				f.Step(time.Second)
				sendNewFlows(f, 20)
			}
			if !f.Running("b1") {
				f.Resume("b1")
			}
			sendNewFlows(f, 20)
			f.Step(2 * time.Second)
			requireNoCrossServicePackets(t, f, threeZoneTree(), test.tree, published, inForceWithin)
		})
	}
}

// lastCaller is the number of the last caller that sendNewFlows used. It uses each
// caller once, so that every request opens a new flow.
var lastCaller = 1000

// sendNewFlows sends requests of new flows to both services.
func sendNewFlows(f *driver.Simulation, n int) {
	for range n {
		lastCaller++
		f.SendPacket("", requestID(lastCaller, 1, 1), requestPacket(openRead))
		f.SendPacket("", requestID(lastCaller, 2, 1), requestPacket(openWrite))
	}
}

// requireNoCrossServicePackets checks that every packet is of the service to which
// its target's address belongs: until oldServiceWindow after the publication, the
// service that listed the address before the change, if any, and otherwise the one
// that lists it after the change. While an address that moved is in quarantine, it
// gets no packets of either service.
func requireNoCrossServicePackets(t *testing.T, f *driver.Simulation, before, after driver.SettingsTree, published timekeeper.Instant, oldServiceWindow time.Duration) {
	t.Helper()
	serviceBefore, serviceAfter := serviceOf(before), serviceOf(after)
	for _, p := range f.TargetPackets {
		service := 1
		if p.ID.Service == driver.ServiceAddress(2) {
			service = 2
		}
		if p.At < published.Add(oldServiceWindow) && serviceBefore[p.Target] != 0 {
			require.Equal(t, serviceBefore[p.Target], service, "%v by %s at %v", p.Target, p.Host, p.At-published)
		} else {
			require.Equal(t, serviceAfter[p.Target], service, "%v by %s at %v", p.Target, p.Host, p.At-published)
		}
	}
}

func serviceOf(tree driver.SettingsTree) map[netip.AddrPort]int {
	serviceByTarget := map[netip.AddrPort]int{}
	for i, s := range tree.Services {
		for _, n := range s.TargetNumbers {
			serviceByTarget[driver.TargetAddress(n)] = i + 1
		}
	}
	return serviceByTarget
}

// Guards against responses that reach a caller of another service: when a packet to a
// return address comes from an address that is no target of that service, for example
// after the address moved to another service, the return address alone must not be
// enough to deliver it.
func TestResponsesFromUnknownTargetsDropped(t *testing.T) {
	f := newFleet(t, threeZoneTree())
	id := requestID(1, 1, 1)
	f.SendPacket("", id, requestPacket(openRead|stream))
	f.Step(100 * time.Millisecond)
	before := len(f.Responses)
	f.SendResponse(driver.TargetAddress(21), f.ReturnAddress(id), id, stream)
	f.SendResponse(driver.TargetAddress(999), f.ReturnAddress(id), id, stream)
	f.Step(100 * time.Millisecond)
	require.Len(t, f.Responses, before)
}

// Guards against a quarantine for the first move only: when an address moves from one
// service to another and, much later, back, the second move must start a quarantine
// too, or packets of one service reach a target of the other.
func TestAddressMovedTwiceIsQuarantinedTwice(t *testing.T) {
	moved := threeZoneTree()
	moved.Services[0].TargetNumbers = append(intRange(1, 14), 24)
	moved.Services[1].TargetNumbers = intRange(21, 23)
	f := newFleet(t, threeZoneTree())
	f.Publish(moved.Document())
	f.Step(40 * time.Second)
	f.Publish(threeZoneTree().Document())
	movedBackAt := f.Now
	for range 25 {
		sendNewFlows(f, 20)
		f.Step(time.Second)
	}
	delivered := 0
	for _, p := range f.TargetPackets {
		if p.Target != driver.TargetAddress(24) || p.At < movedBackAt || p.ID.Service != driver.ServiceAddress(2) {
			continue
		}
		delivered++
		require.Greater(t, p.At, movedBackAt.Add(17*time.Second))
	}
	require.Positive(t, delivered, "it serves again after its rest")
}
