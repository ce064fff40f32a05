package driver

import (
	"encoding/binary"
	"net/netip"
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/reducer"
)

// Target is a simulated target that responds to every request after ProcessingTime.
type Target struct {
	Address        netip.AddrPort
	ProcessingTime time.Duration
	// Down makes the target unresponsive.
	Down bool
	// FailsHealthChecks makes health checks fail while requests still succeed.
	FailsHealthChecks bool
	// RefusesRequests makes the target refuse every request without executing it.
	RefusesRequests bool
	// Executions counts the executions of each request.
	Executions map[RequestID]int
	InFlight   int
	// ExtraLoad is added to InFlight in the load that health checks report.
	ExtraLoad int
}

// Target returns the target at an address and creates it on first use.
func (s *Simulation) Target(address netip.AddrPort) *Target {
	t, ok := s.targets[address]
	if !ok {
		t = &Target{Address: address, ProcessingTime: 5 * time.Millisecond, Executions: map[RequestID]int{}}
		s.targets[address] = t
	}
	return t
}

// Targets returns every target that was ever used, by address.
func (s *Simulation) Targets() map[netip.AddrPort]*Target { return s.targets }

func (s *Simulation) sendToTarget(h *host, e reducer.ToTarget) {
	name, target := h.name, s.Target(e.Target)
	s.scheduleAction(MessageLatency, func() {
		info := s.packetsByID[binary.BigEndian.Uint64(e.Payload)]
		s.TargetPackets = append(s.TargetPackets, TargetPacket{At: s.Now, Host: name, Target: e.Target, ID: info.id, Packet: info.packet})
		if target.Down || info.packet.Kind != messenger.KindRequest {
			return
		}
		s.execute(target, e.Return, info)
	})
}

// execute executes a request at a target and sends the response.
func (s *Simulation) execute(target *Target, returnAddress netip.Addr, info packetInfo) {
	flags := messenger.FlagPiggybacked | info.packet.Flags&messenger.FlagStream
	processingTime := target.ProcessingTime
	if target.RefusesRequests {
		flags |= messenger.FlagRefused
		processingTime = 0
	} else {
		target.Executions[info.id]++
		target.InFlight++
	}
	s.scheduleAction(processingTime, func() {
		if flags&messenger.FlagRefused == 0 {
			target.InFlight--
		}
		s.SendResponse(target.Address, returnAddress, info.id, flags)
	})
}

// SendResponse sends a response from a target to a return address, through a random host that
// accepts packets.
func (s *Simulation) SendResponse(target netip.AddrPort, returnAddress netip.Addr, id RequestID, flags messenger.Flags) {
	packet := messenger.Packet{Kind: messenger.KindResponse, Flags: flags, Exchange: id.Exchange}
	packet.Payload = s.registerPacket(id, packet)
	if host := s.randomHost(); host != "" {
		s.scheduleEvent(MessageLatency, host, &reducer.TargetPacket{Target: target, Return: returnAddress, Packet: packet})
	}
}

func (s *Simulation) probeTarget(h *host, address netip.AddrPort) {
	target := s.Target(address)
	name := h.name
	s.Probes++
	s.scheduleAction(2*MessageLatency, func() {
		s.deliver(name, &reducer.ProbeCompleted{Target: address, Healthy: !target.Down && !target.FailsHealthChecks, InFlight: target.InFlight + target.ExtraLoad})
	})
}
