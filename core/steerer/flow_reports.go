package steerer

import (
	"slices"
	"time"

	"cranberryspan.dev/core/limiter"
	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/timekeeper"
)

const (
	// maxReportedFlows limits the targets with flow counts in one report, so that it fits a
	// datagram.
	maxReportedFlows = 120
	// zoneFlowsTTL is how long another zone's report of its flows is valid. In a larger fleet
	// a report from one of the zone's hosts arrives every half second.
	zoneFlowsTTL = 5 * time.Second
)

// remoteZoneFlows is what another zone reports about a service.
type remoteZoneFlows struct {
	// mean is the mean number of flows per target in the zone.
	mean     int
	deadline timekeeper.Instant
}

type zoneService struct{ zone, service string }

// flowsForReport returns how many flows this host has at each target, for a report to
// another host. A host in the same zone receives the counts of all targets, any other those
// of the targets in its zone. Services that are not constrained are left out.
func (s *Steerer) flowsForReport(to *peer) map[uint32]uint16 {
	if len(s.connections.constrained) == 0 || to.zone == "" {
		return nil
	}
	var tags []uint32
	for _, t := range s.targets.ordered() {
		relevant := to.zone == s.config.AvailabilityZone || to.zone == t.AvailabilityZone
		if relevant && s.connections.constrained[t.Service] != nil && !s.excludedAsMissing(t) {
			tags = append(tags, uint32(t.tag))
		}
	}
	// Targets without flows are left out first, and the counts rotate separately for each
	// receiver. Without this, some targets would be reported only to some hosts.
	relevantTags := tags
	tags = s.connections.limiter.UsedTargets(relevantTags)
	if len(tags) > maxReportedFlows {
		to.flowsCursor = (to.flowsCursor + maxReportedFlows) % len(tags)
		tags = append(tags[to.flowsCursor:], tags[:to.flowsCursor]...)[:maxReportedFlows]
	}
	flows := s.connections.limiter.LocalFlows(tags)
	if len(flows) == 0 && len(relevantTags) > 0 {
		flows[relevantTags[0]] = 0 // A host that reports nothing is assumed to have as many flows as the others.
	}
	return flows
}

// addLocalZoneFlows adds, to a report to another zone, the mean number of flows per target
// in this zone for each constrained service. If there are more than maxReportedDemands of
// these, they rotate.
//
// Without this, when a zone's targets are full, its hosts send their callers to another
// zone's targets, of which they know only their own flows. This shows as targets that turn
// out to be full although they were estimated to be empty.
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

// constrainedServiceNames returns the sorted names of the constrained services.
func (s *Steerer) constrainedServiceNames() []string {
	var names []string
	for name := range s.connections.constrained {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// applyZoneFlows applies what another zone reports about the flows at its targets.
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

// applyFlowReport applies the flow counts in another host's report.
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
	report := limiter.Report{
		Incarnation: r.Incarnation,
		SameZone:    p.zone == s.config.AvailabilityZone,
		Flows:       flows,
		Partial:     len(r.OpenFlows) >= maxReportedFlows,
	}
	s.connections.limiter.ApplyReport(p.name, report, s.now)
}
