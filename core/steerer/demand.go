package steerer

import (
	"cranberryspan.dev/core/admitter"
	"cranberryspan.dev/core/messenger"
)

const (
	// maxReportedDemands bounds the services of a report, so that it fits a datagram.
	maxReportedDemands = 8
	// milliSlots is how many parts of a slot reports tell apart. Less than one of them is
	// left out.
	milliSlots = 1000
)

// addDemands writes into a report what callers ask of the services that may run short.
func (s *Steerer) addDemands(r *messenger.Report, to *peer) {
	for _, name := range s.sortedServices() {
		a := s.services[name].room.admitter
		if !a.ShouldReport() {
			continue
		}
		if to.zone == s.config.AvailabilityZone && len(r.Demands) < maxReportedDemands {
			r.Demands = append(r.Demands, encodeDemand(name, a.LocalDemand(s.now)))
		}
		if to.zone != s.config.AvailabilityZone && len(r.ZoneDemands) < maxReportedDemands {
			r.ZoneDemands = append(r.ZoneDemands, encodeDemand(name, a.ZoneDemand(s.now)))
		}
	}
}

// openFlowLevel turns a priority p of open flows into the number under which it is told, -1-p,
// and such a number back.
func openFlowLevel(level int) int { return -1 - level }

// encodeDemand writes a demand for a report. Where nothing is asked, it writes a demand of 0:
// whoever hears it counts the sender as a host without callers. An entry without any demand
// would be one that tells only of flows.
func encodeDemand(service string, demand admitter.Demand) messenger.ServiceDemand {
	encoded := messenger.ServiceDemand{Service: service}
	add := func(priority int, slots float64) {
		if slots >= 1.0/milliSlots {
			encoded.ByPriority = append(encoded.ByPriority, messenger.PriorityDemand{Priority: priority, MilliSlots: uint32(slots * milliSlots)})
		}
	}
	for level := range admitter.PriorityLevels {
		add(level, demand.New[level])
		add(openFlowLevel(level), demand.Open[level])
	}
	if len(encoded.ByPriority) == 0 {
		encoded.ByPriority = append(encoded.ByPriority, messenger.PriorityDemand{})
	}
	return encoded
}

// decodeDemand reads a demand from a report.
func decodeDemand(encoded messenger.ServiceDemand) admitter.Demand {
	var demand admitter.Demand
	for _, asked := range encoded.ByPriority {
		slots := float64(asked.MilliSlots) / milliSlots
		if asked.Priority < 0 {
			demand.Open[min(openFlowLevel(asked.Priority), admitter.PriorityLevels-1)] += slots
		} else {
			demand.New[min(asked.Priority, admitter.PriorityLevels-1)] += slots
		}
	}
	return demand
}

// applyDemands takes in what a report tells of demand. Services that nobody lists are left
// out, so that no report makes this host keep them, and so are entries that tell only of
// flows: their sender says nothing of demand, not that there is none.
func (s *Steerer) applyDemands(r *messenger.Report, from *peer) {
	sameZone := from.zone == s.config.AvailabilityZone
	all := r.ZoneDemands
	if sameZone {
		all = r.Demands
	}
	for _, reported := range all {
		if len(reported.ByPriority) == 0 || len(s.targets.byService[reported.Service]) == 0 {
			continue
		}
		v := s.service(reported.Service)
		if sameZone {
			v.room.admitter.ApplyHostReport(from.name, decodeDemand(reported), s.now)
		} else {
			v.room.admitter.ApplyZoneReport(from.zone, decodeDemand(reported), s.now)
		}
		s.refreshCapacity(v)
	}
}
