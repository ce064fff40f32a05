package steerer

import (
	"fmt"
	"time"

	"cranberryspan.dev/core/admitter"
	"cranberryspan.dev/core/estimator"
	"cranberryspan.dev/core/pacer"
)

const (
	// underWayUsuals times the usual is how long a request counts as under way, and
	// leastUnderWay the least. A target's queue holds some four requests a slot, so that
	// an answer takes five times the usual at the most. A target that resets a flow
	// tells its caller alone; the host would count the request until its timeout.
	underWayUsuals = 8
	leastUnderWay  = 200 * time.Millisecond
	// unknownUnderWay is used before anything is known of a route.
	unknownUnderWay = time.Second
)

// service is what a host knows of the load of a service.
type service struct {
	name string
	load pacer.Load
	room room
	// underWay counts the requests that this host has passed on, paced those that
	// wait.
	underWay int
	paced    int
	trials   estimator.TrialLimiter
	// lines are the targets at which requests wait, in the order in which the first
	// of them came.
	lines []*target
}

func (s *Steerer) service(name string) *service {
	v, ok := s.services[name]
	if !ok {
		v = &service{name: name, room: room{admitter: admitter.New(), work: map[string]*usualTime{}}}
		s.services[name] = v
	}
	return v
}

// pressed reports whether a service is asked for more than its targets can do.
func (s *Steerer) pressed(name string) bool {
	v, ok := s.services[name]
	return ok && v.load.Congested()
}

// beginRequest counts a request that is passed on, first packet first.
func (s *Steerer) beginRequest(key flowKey, f *flow, first []byte) {
	s.expectAnswer(key, f)
	s.setWaiting(f, true)
	f.keepRequest(first)
	span := unknownUnderWay
	if u, ok := s.usual[f.route.Name]; ok && u.known() {
		span = max(underWayUsuals*u.median, leastUnderWay)
	}
	f.underWay = s.service(f.target.Service)
	f.underWay.underWay++
	s.underWay.add(flowCheck{key: key, since: s.now, deadline: s.now.Add(span)})
}

// endUnderWay ends the count of a request.
func (f *flow) endUnderWay() {
	if f.underWay != nil {
		f.underWay.underWay--
		f.underWay = nil
	}
}

// checkUnderWay ends the count of requests whose answers nobody has seen.
func (s *Steerer) checkUnderWay() {
	s.underWay.eachDue(s.now, func(check flowCheck) {
		if f := s.flows[check.key]; f != nil && f.waiting && f.waitingSince == check.since {
			f.endUnderWay()
		}
	})
}

// learnLoad learns from an answer how pressed its service is. An answer that came
// too quickly for work says nothing of the time that work takes, and neither do answers
// that were late because this host stood still, or because their target is slow.
//
// What goes wrong if slow targets count: half of the targets of a service turn slow, the
// service is pressed, and new flows are refused that the idle other half would serve.
func (s *Steerer) learnLoad(f *flow, took time.Duration) {
	u, ok := s.usual[f.route.Name]
	if !ok || !u.known() || u.tooQuick(took) || !s.pause.trustDeadline.Passed(s.now) || s.answersSlowly(f.target) {
		return
	}
	v := s.service(f.target.Service)
	changed := v.load.RecordResponse(pacer.Response{Latency: took, QueueDelay: f.pacedFor, BaselineLatency: u.median, Objective: f.route.LatencyObjective, InFlight: v.underWay})
	if changed {
		event := "serviceCalm"
		if v.load.Congested() {
			event = "servicePressed"
		}
		s.log(event, field("service", v.name), field("pressure", fmt.Sprintf("%.2f", v.load.Pressure())),
			field("underWay", itoa(v.underWay)), field("paced", itoa(v.paced)), field("tookMillis", millis(took)), field("usualMillis", millis(u.median)))
	}
}
