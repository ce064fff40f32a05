package steerer

import (
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/timekeeper"
)

const (
	// askEvery is the pause between two questions to other hosts, which is also
	// how long one of them may hang: an answer takes some milliseconds.
	askEvery = 300 * time.Millisecond
	// askPatience is how long this host's targets may differ from another's before
	// it asks, while it can't read the platform. Reports repeat each change for
	// longer, so mostly they settle it.
	askPatience = time.Second
)

// asking is the state of this host's questions to others.
type asking struct {
	// deadline is when the next question may be sent.
	deadline timekeeper.Instant
	// differsSince is since when the targets known here differ from those of every
	// host heard; 0 while they agree with one.
	differsSince timekeeper.Instant
}

// askingTick asks another host for what this one lacks and can't read itself.
//
// What goes wrong otherwise: a host that starts while the platform is down, or
// turns it away, knows no settings and no targets. It takes no flows, and if the
// fabric hands it packets nevertheless, drops them.
func (s *Steerer) askingTick() {
	if !s.asking.deadline.Passed(s.now) {
		return
	}
	p := s.informant()
	if p == nil {
		return
	}
	s.asking.deadline = s.now.Add(askEvery)
	request := &messenger.KnowledgeRequest{Above: s.version()}
	s.log("hostAsked", Field{"peer", p.name}, Field{"version", utoa(s.version())}, Field{"peerVersion", utoa(p.version)}, Field{"revision", utoa(s.targetsRevision)})
	s.emit(&AskHost{Host: p.name, Address: p.address, Request: request})
}

// informant picks a host that knows what this one lacks; nil if nothing is
// lacking or nobody knows it.
func (s *Steerer) informant() *peer {
	own := s.targets.digest()
	agrees := false
	var best *peer
	for _, p := range s.peers.ordered() {
		if !p.hears(s.now) || p.revision == 0 {
			continue
		}
		agrees = agrees || p.digest == own
		if p.version < s.version() {
			continue
		}
		if best == nil || p.version > best.version || (p.version == best.version && p.revision > best.revision) {
			best = p
		}
	}
	if agrees || best == nil {
		s.asking.differsSince = 0
	} else if s.asking.differsSince == 0 {
		s.asking.differsSince = s.now
	}
	if best == nil {
		return nil
	}
	fresh := s.settings == nil || s.targetsRevision == 0
	cutOff := s.reading.failedSince != 0
	differs := s.asking.differsSince != 0 && s.asking.differsSince.Add(askPatience).Passed(s.now)
	if fresh || (cutOff && (best.version > s.version() || differs)) {
		return best
	}
	return nil
}

// version is that of the settings in force; 0 without any.
func (s *Steerer) version() uint64 {
	if s.settings == nil {
		return 0
	}
	return s.settings.Version
}

// hostAnswered takes in what another host knows. What this host learned itself
// meanwhile stays if it is newer.
func (s *Steerer) hostAnswered(e *HostAnswered) {
	if e.Err != nil {
		s.log("hostNotAnswering", Field{"peer", e.From}, Field{"error", e.Err.Error()})
		return
	}
	k := e.Knowledge
	if e.Settings != nil {
		s.adopt(e.Settings, e.Document, e.From)
	}
	if k.Version == s.version() && k.Version != 0 {
		s.confirm(&s.reading.settings, k.SettingsAge)
	}
	if k.Revision == 0 {
		return
	}
	for _, state := range k.Targets {
		s.takeState(state, e.From)
	}
	if k.Revision >= s.targetsRevision {
		s.targetsRevision = k.Revision
		s.confirm(&s.reading.targets, k.TargetsAge)
	}
}

// Knowledge answers another host's question. The document is not compressed yet.
func (s *Steerer) Knowledge(request *messenger.KnowledgeRequest) *messenger.Knowledge {
	k := &messenger.Knowledge{
		Version:     s.version(),
		SettingsAge: age(s.now, s.reading.settings.confirmed),
		Revision:    s.targetsRevision,
		TargetsAge:  age(s.now, s.reading.targets.confirmed),
	}
	if k.Version > request.Above {
		k.Document = s.document
	}
	for _, t := range s.targets.ordered() {
		k.Targets = append(k.Targets, t.state(s.now))
	}
	return k
}
