package steerer

import (
	"fmt"
	"time"

	"cranberryspan.dev/core/admitter"
	"cranberryspan.dev/core/estimator"
	"cranberryspan.dev/core/pacer"
)

const (
	// inFlightBaselineFactor times the usual is how long a request counts as under way, and
	// minInFlightTimeout the least. A target's queue holds some four requests a slot, so that
	// an answer takes five times the usual at the most. A target that resets a flow
	// tells its caller alone; the host would count the request until its timeout.
	inFlightBaselineFactor = 8
	minInFlightTimeout     = 200 * time.Millisecond
	// defaultInFlightTimeout is used before anything is known of a route.
	defaultInFlightTimeout = time.Second
)

// service is what a host knows of the load of a service.
type service struct {
	name string
	load pacer.Load
	room capacityState
	// inFlight counts the requests that this host has passed on, paced those that
	// wait.
	inFlight int
	paced    int
	trials   estimator.TrialLimiter
	// queuingTargets are the targets at which requests wait, in the order in which the first
	// of them came.
	queuingTargets []*target
}

func (s *Steerer) service(name string) *service {
	v, ok := s.services[name]
	if !ok {
		v = &service{name: name, room: capacityState{admitter: admitter.New(), processingTimes: map[string]*medianEstimator{}}}
		s.services[name] = v
	}
	return v
}

// congested reports whether a service is asked for more than its targets can do.
func (s *Steerer) congested(name string) bool {
	v, ok := s.services[name]
	return ok && v.load.Congested()
}

// beginRequest counts a request that is passed on, first packet first.
func (s *Steerer) beginRequest(key flowKey, f *flow, first []byte) {
	s.setExpectedResponse(key, f)
	s.setAwaitingResponse(f, true)
	f.bufferRequest(first)
	timeout := defaultInFlightTimeout
	if u, ok := s.baselines[f.route.Name]; ok && u.known() {
		timeout = max(inFlightBaselineFactor*u.median, minInFlightTimeout)
	}
	f.inFlightAt = s.service(f.target.Service)
	f.inFlightAt.inFlight++
	s.inFlight.add(flowTimer{key: key, since: s.now, deadline: s.now.Add(timeout)})
}

// endInFlight ends the count of a request.
func (f *flow) endInFlight() {
	if f.inFlightAt != nil {
		f.inFlightAt.inFlight--
		f.inFlightAt = nil
	}
}

// expireInFlight ends the count of requests whose answers nobody has seen.
func (s *Steerer) expireInFlight() {
	s.inFlight.expire(s.now, func(timer flowTimer) {
		if f := s.flows[timer.key]; f != nil && f.awaitingResponse && f.requestStartedAt == timer.since {
			f.endInFlight()
		}
	})
}

// observeLoad learns from an answer how pressed its service is. An answer that came
// too quickly for work says nothing of the time that work takes, and neither do answers
// that were late because this host stood still, or because their target is slow.
//
// What goes wrong if slow targets count: half of the targets of a service turn slow, the
// service is pressed, and new flows are refused that the idle other half would serve.
func (s *Steerer) observeLoad(f *flow, took time.Duration) {
	u, ok := s.baselines[f.route.Name]
	if !ok || !u.known() || u.implausiblyFast(took) || !s.pause.graceDeadline.Passed(s.now) || s.targetOrZoneSlow(f.target) {
		return
	}
	v := s.service(f.target.Service)
	changed := v.load.RecordResponse(pacer.Response{Latency: took, QueueDelay: f.pacedFor, BaselineLatency: u.median, Objective: f.route.LatencyObjective, InFlight: v.inFlight})
	if changed {
		event := "serviceCalm"
		if v.load.Congested() {
			event = "servicePressed"
		}
		s.log(event, field("service", v.name), field("pressure", fmt.Sprintf("%.2f", v.load.Pressure())),
			field("underWay", formatInt(v.inFlight)), field("paced", formatInt(v.paced)), field("tookMillis", formatMillis(took)), field("usualMillis", formatMillis(u.median)))
	}
}
