package steerer

import (
	"cranberryspan.dev/core/admitter"
	"cranberryspan.dev/core/messenger"
)

const (
	// maxReportedDemands limits the services in a report, so that it fits into a datagram.
	maxReportedDemands = 8
	// milliSlots is the number of units of reported demand in a slot. Demand of less than one
	// unit is left out.
	milliSlots = 1000
)

// addDemands adds to a report the demand for services that may become overloaded.
func (s *Steerer) addDemands(r *messenger.Report, to *peer) {
	for _, name := range s.sortedServices() {
		a := s.services[name].capacity.admitter
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

// openFlowLevel encodes priority p of requests on open flows as the number -1-p used in
// reports, and decodes it.
func openFlowLevel(level int) int { return -1 - level }

// encodeDemand encodes demand for a report. Without any demand it encodes an explicit 0, so
// that the receiver counts the sender as a host without callers. An entry with no demand at
// all would be one that reports only flow counts.
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

// decodeDemand decodes demand from a report.
func decodeDemand(encoded messenger.ServiceDemand) admitter.Demand {
	var demand admitter.Demand
	for _, entry := range encoded.ByPriority {
		slots := float64(entry.MilliSlots) / milliSlots
		if entry.Priority < 0 {
			demand.Open[min(openFlowLevel(entry.Priority), admitter.PriorityLevels-1)] += slots
		} else {
			demand.New[min(entry.Priority, admitter.PriorityLevels-1)] += slots
		}
	}
	return demand
}

// applyDemands applies the demand that a report contains. It ignores services without listed
// targets, so that no report can make this host keep state for them, and entries that report
// only flow counts: their sender makes no statement about demand, which differs from reporting
// none.
func (s *Steerer) applyDemands(r *messenger.Report, from *peer) {
	sameZone := from.zone == s.config.AvailabilityZone
	demands := r.ZoneDemands
	if sameZone {
		demands = r.Demands
	}
	for _, reported := range demands {
		if len(reported.ByPriority) == 0 || len(s.targets.byService[reported.Service]) == 0 {
			continue
		}
		v := s.service(reported.Service)
		if sameZone {
			v.capacity.admitter.ApplyHostReport(from.name, decodeDemand(reported), s.now)
		} else {
			v.capacity.admitter.ApplyZoneReport(from.zone, decodeDemand(reported), s.now)
		}
		s.refreshCapacity(v)
	}
}
