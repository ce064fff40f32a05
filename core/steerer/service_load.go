package steerer

import (
	"fmt"
	"time"

	"cranberryspan.dev/core/admitter"
	"cranberryspan.dev/core/estimator"
	"cranberryspan.dev/core/pacer"
)

const (
	// inFlightBaselineFactor times the baseline latency is how long a request counts as in
	// flight, with minInFlightTimeout as the minimum. A target's queue holds about four
	// requests per slot, so that a response takes at most five times the baseline. A target
	// that resets a flow tells only its caller; without this limit the host would count the
	// request until its timeout.
	inFlightBaselineFactor = 8
	minInFlightTimeout     = 200 * time.Millisecond
	// defaultInFlightTimeout is used while the baseline latency of a route is unknown.
	defaultInFlightTimeout = time.Second
)

// service is the load of a service as seen by this host.
type service struct {
	name     string
	load     pacer.Load
	capacity capacityState
	// inFlight counts the requests that this host has forwarded; queued counts those queued
	// at it.
	inFlight int
	queued   int
	trials   estimator.TrialLimiter
	// queuingTargets holds the targets for which requests are queued, in the order in which
	// the first request of each was queued.
	queuingTargets []*target
}

func (s *Steerer) service(name string) *service {
	v, ok := s.services[name]
	if !ok {
		v = &service{name: name, capacity: capacityState{admitter: admitter.New(), processingTimes: map[string]*medianEstimator{}}}
		s.services[name] = v
	}
	return v
}

// congested reports whether the latency of a service shows queueing at its targets.
func (s *Steerer) congested(name string) bool {
	v, ok := s.services[name]
	return ok && v.load.Congested()
}

// beginRequest counts a request that is forwarded; first is its first packet.
func (s *Steerer) beginRequest(key flowKey, f *flow, first []byte) {
	s.setExpectedResponse(key, f)
	s.setAwaitingResponse(f, true)
	f.bufferRequest(first)
	timeout := defaultInFlightTimeout
	if baseline, ok := s.baselines[f.route.Name]; ok && baseline.known() {
		timeout = max(inFlightBaselineFactor*baseline.median, minInFlightTimeout)
	}
	f.inFlightAt = s.service(f.target.Service)
	f.inFlightAt.inFlight++
	s.inFlight.add(flowTimer{key: key, since: s.now, deadline: s.now.Add(timeout)})
}

// endInFlight stops counting a request as in flight.
func (f *flow) endInFlight() {
	if f.inFlightAt != nil {
		f.inFlightAt.inFlight--
		f.inFlightAt = nil
	}
}

// expireInFlight stops counting requests whose responses this host has not seen.
func (s *Steerer) expireInFlight() {
	s.inFlight.expire(s.now, func(timer flowTimer) {
		if f := s.flows[timer.key]; f != nil && f.awaitingResponse && f.requestStartedAt == timer.since {
			f.endInFlight()
		}
	})
}

// observeLoad updates the congestion of a service from a response. Implausibly fast
// responses say nothing about the time that requests take, and neither do responses that
// were late because this host was paused or because their target is slow.
//
// Without leaving out slow targets, when half of a service's targets turn slow, the service
// counts as congested, and new flows are refused that the idle other half would serve.
func (s *Steerer) observeLoad(f *flow, took time.Duration) {
	baseline, ok := s.baselines[f.route.Name]
	if !ok || !baseline.known() || baseline.implausiblyFast(took) || !s.pause.graceDeadline.Passed(s.now) || s.targetOrZoneSlow(f.target) {
		return
	}
	v := s.service(f.target.Service)
	changed := v.load.RecordResponse(pacer.Response{Latency: took, QueueDelay: f.queuedFor, BaselineLatency: baseline.median, Objective: f.route.LatencyObjective, InFlight: v.inFlight})
	if changed {
		event := "serviceCalm"
		if v.load.Congested() {
			event = "servicePressed"
		}
		s.log(event, field("service", v.name), field("pressure", fmt.Sprintf("%.2f", v.load.MeanWait())),
			field("underWay", formatInt(v.inFlight)), field("paced", formatInt(v.queued)), field("tookMillis", formatMillis(took)), field("usualMillis", formatMillis(baseline.median)))
	}
}
