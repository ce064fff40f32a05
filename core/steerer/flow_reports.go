package steerer

import (
	"slices"
	"time"

	"cranberryspan.dev/core/limiter"
	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/timekeeper"
)

const (
	// maxReportedFlows bounds the targets of which one report tells, so that it fits a datagram.
	maxReportedFlows = 120
	// zoneFlowsTTL is how long what another zone tells of its targets counts: one of its
	// hosts is heard each half second in a larger fleet.
	zoneFlowsTTL = 5 * time.Second
)

// remoteZoneFlows is what another zone tells of a service.
type remoteZoneFlows struct {
	// mean is how many flows each of the zone's targets has on average.
	mean     int
	deadline timekeeper.Instant
}

type zoneService struct{ zone, service string }

// flowsForReport is how many flows this host has at each target, for a report to another host. One
// of the own zone is told of all targets, any other of those in its zone. Services that have
// plenty are left out.
func (s *Steerer) flowsForReport(to *peer) map[uint32]uint16 {
	if len(s.connections.constrained) == 0 || to.zone == "" {
		return nil
	}
	var tags []uint32
	for _, t := range s.targets.ordered() {
		near := to.zone == s.config.AvailabilityZone || to.zone == t.AvailabilityZone
		if near && s.connections.constrained[t.Service] != nil && !s.excludedAsMissing(t) {
			tags = append(tags, uint32(t.tag))
		}
	}
	// Those without flows are left out first, and each receiver has turns of its own: else
	// some targets come only to some hosts.
	targets := tags
	tags = s.connections.limiter.UsedTargets(targets)
	if len(tags) > maxReportedFlows {
		to.flowsCursor = (to.flowsCursor + maxReportedFlows) % len(tags)
		tags = append(tags[to.flowsCursor:], tags[:to.flowsCursor]...)[:maxReportedFlows]
	}
	flows := s.connections.limiter.LocalFlows(tags)
	if len(flows) == 0 && len(targets) > 0 {
		flows[targets[0]] = 0 // A host that tells nothing is taken to hold what others do.
	}
	return flows
}

// addLocalZoneFlows tells a host of another zone how many flows the targets of this zone have on
// average, of services that are short of connections. Where there are more than maxReportedDemands
// of these, they take turns.
//
// What goes wrong otherwise: a zone's targets are full, and its hosts send their callers to
// another zone's, of which they know only their own flows. One notices by targets that turn
// out to be full though believed to be empty.
func (s *Steerer) addLocalZoneFlows(r *messenger.Report) {
	names := s.constrainedServiceNames()
	c := &s.connections
	if len(names) > maxReportedDemands {
		c.zoneReportCursor = (c.zoneReportCursor + 1) % len(names)
		names = append(names[c.zoneReportCursor:], names[:c.zoneReportCursor]...)
	}
	for _, name := range names {
		at := slices.IndexFunc(r.ZoneDemands, func(d messenger.ServiceDemand) bool { return d.Service == name })
		if at < 0 {
			if len(r.ZoneDemands) >= maxReportedDemands {
				continue
			}
			at = len(r.ZoneDemands)
			r.ZoneDemands = append(r.ZoneDemands, messenger.ServiceDemand{Service: name})
		}
		r.ZoneDemands[at].OpenFlows = uint32(c.constrained[name].localMeanFlows)
	}
}

// constrainedServiceNames lists the services that are short of connections, sorted.
func (s *Steerer) constrainedServiceNames() []string {
	var names []string
	for name := range s.connections.constrained {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// applyZoneFlows takes in what another zone tells of the flows at its targets.
func (s *Steerer) applyZoneFlows(r *messenger.Report) {
	if r.AvailabilityZone == s.config.AvailabilityZone {
		return
	}
	for _, d := range r.ZoneDemands {
		known := slices.Contains(s.targets.zones, r.AvailabilityZone) && s.settings.service(d.Service).MaxConnections > 0
		if d.OpenFlows > 0 && known {
			key := zoneService{r.AvailabilityZone, d.Service}
			s.connections.remoteZoneFlows[key] = remoteZoneFlows{mean: int(d.OpenFlows), deadline: s.now.Add(zoneFlowsTTL)}
		}
	}
}

// applyFlowReport takes in which flows another host has.
func (s *Steerer) applyFlowReport(p *peer, r *messenger.Report) {
	s.applyZoneFlows(r)
	if len(r.OpenFlows) == 0 {
		return
	}
	flows := make(map[uint32]uint16, len(r.OpenFlows))
	for tag, n := range r.OpenFlows {
		if t, ok := s.reportedTarget(p, tag); ok {
			flows[tag] = n
			if s.connections.constrained[t.Service] == nil {
				s.connections.deadline = 0
			}
		}
	}
	s.connections.lastFlowReport = s.now
	word := limiter.Report{
		Incarnation: r.Incarnation,
		SameZone:    p.zone == s.config.AvailabilityZone,
		Flows:       flows,
		Partial:     len(r.OpenFlows) >= maxReportedFlows,
	}
	s.connections.limiter.ApplyReport(p.name, word, s.now)
}
