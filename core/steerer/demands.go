package steerer

import (
	"cranberryspan.dev/core/admitter"
	"cranberryspan.dev/core/messenger"
)

// maxDemands bounds the services of a report, so that it fits a datagram.
const maxDemands = 8

// addDemands writes into a report what callers ask of the services that may run short.
func (s *Steerer) addDemands(r *messenger.Report, to *peer) {
	for _, name := range s.askedServices() {
		a := s.services[name].room.admitter
		if !a.Tells() {
			continue
		}
		if to.zone == s.config.AvailabilityZone && len(r.Demands) < maxDemands {
			r.Demands = append(r.Demands, toldDemand(name, a.Own(s.now)))
		}
		if to.zone != s.config.AvailabilityZone && len(r.ZoneDemands) < maxDemands {
			r.ZoneDemands = append(r.ZoneDemands, toldDemand(name, a.Zone(s.now)))
		}
	}
}

// openLevel marks what open flows ask: their priority p is told as -1-p.
func openLevel(level int) int { return -1 - level }

// toldDemand writes a demand for a report. Where nothing is asked, it says so: who hears it
// counts the sender as a host without callers, and an entry with nothing on demand is one
// that tells only of flows.
func toldDemand(service string, demand admitter.Demand) messenger.ServiceDemand {
	told := messenger.ServiceDemand{Service: service}
	add := func(priority int, slots float64) {
		if slots >= 0.001 {
			told.Asked = append(told.Asked, messenger.PriorityDemand{Priority: priority, MilliSlots: uint32(slots * 1000)})
		}
	}
	for level := range admitter.Levels {
		add(level, demand.New[level])
		add(openLevel(level), demand.Open[level])
	}
	if len(told.Asked) == 0 {
		told.Asked = append(told.Asked, messenger.PriorityDemand{})
	}
	return told
}

// demandOf reads a demand from a report.
func demandOf(told messenger.ServiceDemand) admitter.Demand {
	var demand admitter.Demand
	for _, asked := range told.Asked {
		slots := float64(asked.MilliSlots) / 1000
		if asked.Priority < 0 {
			demand.Open[min(openLevel(asked.Priority), admitter.Levels-1)] += slots
		} else {
			demand.New[min(asked.Priority, admitter.Levels-1)] += slots
		}
	}
	return demand
}

// takeDemands takes in what a report tells of demand. Services that nobody lists are left
// out, so that no word makes this host keep them, and so are entries that tell only of
// flows: their sender says nothing of demand, not that there is none.
func (s *Steerer) takeDemands(r *messenger.Report, from *peer) {
	near := from.zone == s.config.AvailabilityZone
	all := r.ZoneDemands
	if near {
		all = r.Demands
	}
	for _, told := range all {
		if len(told.Asked) == 0 || len(s.targets.byService[told.Service]) == 0 {
			continue
		}
		v := s.service(told.Service)
		if near {
			v.room.admitter.TakeHost(from.name, demandOf(told), s.now)
		} else {
			v.room.admitter.TakeZone(from.zone, demandOf(told), s.now)
		}
		s.assess(v)
	}
}
