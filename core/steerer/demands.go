package steerer

import (
	"cranberryspan.dev/core/admitter"
	"cranberryspan.dev/core/messenger"
)

const (
	// maxDemands bounds the services of a report, so that it fits a datagram.
	maxDemands = 8
	// milliSlots is how many parts of a slot reports tell apart. Less than one of them is
	// left out.
	milliSlots = 1000
)

// addDemands writes into a report what callers ask of the services that may run short.
func (s *Steerer) addDemands(r *messenger.Report, to *peer) {
	for _, name := range s.askedServices() {
		a := s.services[name].room.admitter
		if !a.ShouldReport() {
			continue
		}
		if to.zone == s.config.AvailabilityZone && len(r.Demands) < maxDemands {
			r.Demands = append(r.Demands, toldDemand(name, a.LocalDemand(s.now)))
		}
		if to.zone != s.config.AvailabilityZone && len(r.ZoneDemands) < maxDemands {
			r.ZoneDemands = append(r.ZoneDemands, toldDemand(name, a.ZoneDemand(s.now)))
		}
	}
}

// openLevel turns a priority p of open flows into the number under which it is told, -1-p,
// and such a number back.
func openLevel(level int) int { return -1 - level }

// toldDemand writes a demand for a report. Where nothing is asked, it writes a demand of 0:
// whoever hears it counts the sender as a host without callers. An entry without any demand
// would be one that tells only of flows.
func toldDemand(service string, demand admitter.Demand) messenger.ServiceDemand {
	told := messenger.ServiceDemand{Service: service}
	add := func(priority int, slots float64) {
		if slots >= 1.0/milliSlots {
			told.ByPriority = append(told.ByPriority, messenger.PriorityDemand{Priority: priority, MilliSlots: uint32(slots * milliSlots)})
		}
	}
	for level := range admitter.PriorityLevels {
		add(level, demand.New[level])
		add(openLevel(level), demand.Open[level])
	}
	if len(told.ByPriority) == 0 {
		told.ByPriority = append(told.ByPriority, messenger.PriorityDemand{})
	}
	return told
}

// demandOf reads a demand from a report.
func demandOf(told messenger.ServiceDemand) admitter.Demand {
	var demand admitter.Demand
	for _, asked := range told.ByPriority {
		slots := float64(asked.MilliSlots) / milliSlots
		if asked.Priority < 0 {
			demand.Open[min(openLevel(asked.Priority), admitter.PriorityLevels-1)] += slots
		} else {
			demand.New[min(asked.Priority, admitter.PriorityLevels-1)] += slots
		}
	}
	return demand
}

// takeDemands takes in what a report tells of demand. Services that nobody lists are left
// out, so that no report makes this host keep them, and so are entries that tell only of
// flows: their sender says nothing of demand, not that there is none.
func (s *Steerer) takeDemands(r *messenger.Report, from *peer) {
	near := from.zone == s.config.AvailabilityZone
	all := r.ZoneDemands
	if near {
		all = r.Demands
	}
	for _, told := range all {
		if len(told.ByPriority) == 0 || len(s.targets.byService[told.Service]) == 0 {
			continue
		}
		v := s.service(told.Service)
		if near {
			v.room.admitter.ApplyHostReport(from.name, demandOf(told), s.now)
		} else {
			v.room.admitter.ApplyZoneReport(from.zone, demandOf(told), s.now)
		}
		s.assess(v)
	}
}
