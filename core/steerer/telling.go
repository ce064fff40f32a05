package steerer

import (
	"slices"
	"time"

	"cranberryspan.dev/core/limiter"
	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/timekeeper"
)

const (
	// maxToldFlows bounds the targets of which one report tells, so that it fits a datagram.
	maxToldFlows = 120
	// zoneFlowsMemory is how long what another zone tells of its targets counts: one of its
	// hosts is heard each half second in a larger fleet.
	zoneFlowsMemory = 5 * time.Second
)

// zoneFlows is what another zone tells of a service.
type zoneFlows struct {
	// mean is how many flows each of the zone's targets has on average.
	mean     int
	deadline timekeeper.Instant
}

type zoneService struct{ zone, service string }

// toldFlows is how many flows this host has at each target, for a report to another host. One
// of the own zone is told of all targets, any other of those in its zone. Services that have
// plenty are left out.
func (s *Steerer) toldFlows(to *peer) map[uint32]uint16 {
	if len(s.connections.tight) == 0 || to.zone == "" {
		return nil
	}
	var tags []uint32
	for _, t := range s.targets.ordered() {
		near := to.zone == s.config.AvailabilityZone || to.zone == t.AvailabilityZone
		if near && s.connections.tight[t.Service] != nil && !s.gone(t) {
			tags = append(tags, uint32(t.tag))
		}
	}
	// Those without flows are left out first, and each receiver has turns of its own: else
	// some targets come only to some hosts.
	targets := tags
	tags = s.connections.limiter.UsedTargets(targets)
	if len(tags) > maxToldFlows {
		to.flowsTurn = (to.flowsTurn + maxToldFlows) % len(tags)
		tags = append(tags[to.flowsTurn:], tags[:to.flowsTurn]...)[:maxToldFlows]
	}
	flows := s.connections.limiter.LocalFlows(tags)
	if len(flows) == 0 && len(targets) > 0 {
		flows[targets[0]] = 0 // A host that tells nothing is taken to hold what others do.
	}
	return flows
}

// addZoneFlows tells a host of another zone how many flows the targets of this zone have on
// average, of services that are short of connections. Where there are more than maxDemands
// of these, they take turns.
//
// What goes wrong otherwise: a zone's targets are full, and its hosts send their callers to
// another zone's, of which they know only their own flows. One notices by targets that turn
// out to be full though believed to be empty.
func (s *Steerer) addZoneFlows(r *messenger.Report) {
	names := s.tightNames()
	c := &s.connections
	if len(names) > maxDemands {
		c.zoneTurn = (c.zoneTurn + 1) % len(names)
		names = append(names[c.zoneTurn:], names[:c.zoneTurn]...)
	}
	for _, name := range names {
		at := slices.IndexFunc(r.ZoneDemands, func(d messenger.ServiceDemand) bool { return d.Service == name })
		if at < 0 {
			if len(r.ZoneDemands) >= maxDemands {
				continue
			}
			at = len(r.ZoneDemands)
			r.ZoneDemands = append(r.ZoneDemands, messenger.ServiceDemand{Service: name})
		}
		r.ZoneDemands[at].OpenFlows = uint32(c.tight[name].homeMean)
	}
}

// tightNames lists the services that are short of connections, sorted.
func (s *Steerer) tightNames() []string {
	var names []string
	for name := range s.connections.tight {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// takeZoneFlows takes in what another zone tells of the flows at its targets.
func (s *Steerer) takeZoneFlows(r *messenger.Report) {
	if r.AvailabilityZone == s.config.AvailabilityZone {
		return
	}
	for _, d := range r.ZoneDemands {
		known := slices.Contains(s.targets.zones, r.AvailabilityZone) && s.settings.service(d.Service).MaxConnections > 0
		if d.OpenFlows > 0 && known {
			key := zoneService{r.AvailabilityZone, d.Service}
			s.connections.away[key] = zoneFlows{mean: int(d.OpenFlows), deadline: s.now.Add(zoneFlowsMemory)}
		}
	}
}

// takeFlows takes in which flows another host has.
func (s *Steerer) takeFlows(p *peer, r *messenger.Report) {
	s.takeZoneFlows(r)
	if len(r.OpenFlows) == 0 {
		return
	}
	flows := make(map[uint32]uint16, len(r.OpenFlows))
	for tag, n := range r.OpenFlows {
		if t, ok := s.told(p, tag); ok {
			flows[tag] = n
			if s.connections.tight[t.Service] == nil {
				s.connections.deadline = 0
			}
		}
	}
	s.connections.heard = s.now
	word := limiter.Report{
		Incarnation: r.Incarnation,
		SameZone:    p.zone == s.config.AvailabilityZone,
		Flows:       flows,
		Partial:     len(r.OpenFlows) >= maxToldFlows,
	}
	s.connections.limiter.ApplyReport(p.name, word, s.now)
}
