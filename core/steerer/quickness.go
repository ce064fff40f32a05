package steerer

import (
	"time"

	"cranberryspan.dev/core/timekeeper"
)

const (
	// quickShare is the part of a route's usual time below which an answer is quicker
	// than work can be. Where times of work spread by half, one answer in some 300
	// is by chance.
	quickShare = 0.25
	// usualSamples is how many answers of a route are needed to know what is usual.
	usualSamples = 20
	// quickMemory is how long a quick answer counts. Chance brings two in that time,
	// at all hosts of a zone together, to one target in a hundred.
	quickMemory = 3 * time.Second
	// quickEnough is how many make a target one that fails its work.
	quickEnough = 2
	// quickLoad is added to the load of such a target, in requests a slot: it gets
	// flows only when its siblings are busy, so a false alarm costs little.
	quickLoad = 2.0
	// maxQuick bounds the targets that a report names.
	maxQuick = 32
)

// tooQuick reports whether no work can have been done in a time.
func (u *usualTime) tooQuick(took time.Duration) bool {
	return u.known() && float64(took) < quickShare*float64(u.median)
}

// quickness is what a host concludes of a target from answers that come too quickly.
type quickness struct {
	// own are the last two moments at which this host saw one.
	own [quickEnough]timekeeper.Instant
	// peers are the words of other hosts of the zone.
	peers quickWords
}

// noteAnswer learns from the time until an answer.
//
// What goes wrong otherwise: a target fails a part of its requests at once while its
// liveness check is good. Failures take less time than work, so it has the least load
// of its service and gets most new flows. One notices by callers that fail again and
// again at one target. What is in an answer can't be read here, but how quickly it
// comes can.
func (s *Steerer) noteAnswer(f *flow, took time.Duration) {
	u, ok := s.usual[f.route.Name]
	if !ok {
		u = &usualTime{}
		s.usual[f.route.Name] = u
	}
	pressed := s.pressed(f.target.Service)
	if u.tooQuick(took) && !pressed {
		q := &f.target.quick
		q.own[0], q.own[1] = q.own[1], s.now
		s.counts.add(QuickAnswer)
		s.log("answerTooQuick", field("target", f.target.ID), field("route", f.route.Name),
			field("tookMillis", millis(took)), field("usualMillis", millis(u.median)))
	}
	u.add(took, pressed)
}

// failsWork reports whether a target answers more quickly than it can work. Answers of a
// pressed service say nothing of that: full targets refuse at once, and work that goes
// elsewhere for it fills the next.
func (s *Steerer) failsWork(t *target) bool {
	count := 0
	for _, at := range t.quick.own {
		if at != 0 && s.now.Since(at) < quickMemory {
			count++
		}
	}
	count += t.quick.peers.count(s.now)
	return count >= quickEnough && !s.pressed(t.Service)
}

// takeQuick takes in whose quick answers another host of the zone saw.
func (s *Steerer) takeQuick(from *peer, tags []uint32) {
	for _, tag := range tags {
		t, ok := s.told(from, tag)
		if !ok {
			continue
		}
		t.quick.peers.add(from.name, s.now.Add(quickMemory))
	}
}

// quickOfLate reports whether this host saw quick answers of a target of late.
func (s *Steerer) quickOfLate(t *target) bool {
	last := t.quick.own[1]
	return last != 0 && s.now.Since(last) < quickMemory
}
