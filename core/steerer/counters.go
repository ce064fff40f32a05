package steerer

import "time"

// Counter identifies one of a host's event counters.
type Counter uint8

// The counters of a host.
const (
	// DropNotReady counts packets dropped because this host did not get settings and targets
	// soon enough after they arrived.
	DropNotReady Counter = iota
	// DropUnknownTag counts packets whose tag belongs to no target that this host knows.
	DropUnknownTag
	// Refused counts flows that were refused before any request ran.
	Refused
	// FlowReset counts open flows that were reset.
	FlowReset
	// ProbeSent counts probes of targets.
	ProbeSent
	// FlowTableFull counts flows that were not added to the flow table because it already held
	// Config.MaxFlows.
	FlowTableFull
	// SettingsReads and TargetsReads count reads of the platform, ReadsFailed those of them
	// that failed.
	SettingsReads
	TargetsReads
	ReadsFailed
	// ReportsSent counts reports to other hosts.
	ReportsSent
	// FastFailure counts responses that were implausibly fast for a request that was
	// processed.
	FastFailure
	// TargetMalformed counts malformed target entries, once for each change of an entry.
	TargetMalformed
	// RequestQueued counts requests that were queued at this host.
	RequestQueued
	// RefusedNoCapacity counts the refused flows for which the fleet had no capacity,
	// RefusedOverload those whose requests would have been queued behind others at this host.
	RefusedNoCapacity
	RefusedOverload
	// RefusedFull counts flows that were refused because all targets are at their connection
	// limit, FlowRedispatched those that this host redispatched because a target did not
	// accept them.
	RefusedFull
	FlowRedispatched
	// DropStale counts packets that arrived while this host was paused.
	DropStale
	// StoreRestored counts restores of the platform's store that this host has learned of.
	StoreRestored
	// TargetSlow counts targets that became slow, TrialFlow the flows sent to a slow target to
	// learn whether it has recovered.
	TargetSlow
	TrialFlow
	// RefusedCallerShare counts the refused flows whose caller exceeded its fair share of an
	// overloaded service, RefusedCallerQuota those whose caller had used up a quota.
	RefusedCallerShare
	RefusedCallerQuota
	// OrderOverridden counts the opening packets that went to a target of an evacuated zone.
	OrderOverridden
	numCounters
)

func (c Counter) String() string { return counterNames[c] }

// counterNames are the names of the counters in metrics.
var counterNames = [numCounters]string{
	DropNotReady:       "dropUnknowing",
	DropUnknownTag:     "dropUnknownTag",
	Refused:            "refused",
	FlowReset:          "flowReset",
	ProbeSent:          "probeSent",
	FlowTableFull:      "notRemembered",
	SettingsReads:      "settingsReads",
	TargetsReads:       "targetsReads",
	ReadsFailed:        "readsFailed",
	ReportsSent:        "reportsSent",
	FastFailure:        "quickAnswer",
	TargetMalformed:    "targetMalformed",
	RequestQueued:      "requestPaced",
	RefusedNoCapacity:  "refusedNoRoom",
	RefusedOverload:    "refusedOverload",
	RefusedFull:        "refusedFull",
	FlowRedispatched:   "sentOn",
	DropStale:          "dropStale",
	StoreRestored:      "storeRestored",
	TargetSlow:         "targetSlow",
	TrialFlow:          "trialFlow",
	RefusedCallerShare: "refusedCallerShare",
	RefusedCallerQuota: "refusedCallerQuota",
	OrderOverridden:    "orderOverridden",
}

// Counters holds the value of each Counter.
type Counters [numCounters]uint64

func (c *Counters) add(counter Counter) { c[counter]++ }

// Snapshot is the state of a host in numbers, for metrics.
type Snapshot struct {
	Counters Counters
	Flows    int
	Targets  int
	// Unreachable counts the targets that a probe has confirmed as not responding.
	Unreachable int
	// Evacuated counts the zones under an evacuation order, Cold the targets that started
	// recently or whose zone's evacuation order was withdrawn recently.
	Evacuated int
	Cold      int
	// Slow counts the targets that take markedly longer than others of their zone.
	Slow  int
	Peers int
	// Live counts the other hosts that are alive according to any host's reports.
	Live    int
	Version uint64
	// Era is the latest era of the platform's history that this host has learned of; 0 if the
	// platform reports none.
	Era uint64
	// SettingsAge and TargetsAge are the times since settings and targets were last confirmed.
	SettingsAge time.Duration
	TargetsAge  time.Duration
	// Queued counts the requests queued at this host, Congested the services whose latency
	// shows queueing at their targets.
	Queued    int
	Congested int
	// Overloaded counts the services whose demand exceeds the capacity of their targets.
	// Capacity and Demand are those of the service with the highest load, in slots.
	Overloaded int
	Capacity   float64
	Demand     float64
	// Connections counts the known flows at the targets of services with constrained
	// connections, ConnectionCapacity how many of them there may be.
	Connections        int
	ConnectionCapacity int
	// Callers counts the caller addresses and prefixes that the throttler tracks.
	Callers int
	Ready   bool
}

// Snapshot returns the current numbers.
func (s *Steerer) Snapshot() Snapshot {
	snapshot := Snapshot{Counters: s.counters, Flows: len(s.flows), Targets: len(s.targets.byID), Peers: len(s.peers.byName), Live: s.alivePeers(), Version: s.version()}
	snapshot.SettingsAge = age(s.now, s.platformReads.settings.confirmed)
	snapshot.TargetsAge = age(s.now, s.platformReads.targets.confirmed)
	snapshot.Ready = s.Ready()
	snapshot.Era = s.platformReads.era
	snapshot.Queued = s.queued
	snapshot.Callers = s.throttler.CallerCount()
	snapshot.Evacuated = len(s.evacuator.Zones())
	for _, v := range s.services {
		if v.load.Congested() {
			snapshot.Congested++
		}
	}
	s.addCapacity(&snapshot)
	for _, v := range s.connections.constrained {
		snapshot.Connections += v.flows
		snapshot.ConnectionCapacity += v.capacity
	}
	for _, t := range s.targets.byID {
		if t.health.unreachable() {
			snapshot.Unreachable++
		}
		if t.slowdownEstimate.Slow() {
			snapshot.Slow++
		}
		if s.isCold(t) {
			snapshot.Cold++
		}
	}
	return snapshot
}

// Each calls a function with the name and value of each counter.
func (c *Counters) Each(visit func(name string, value uint64)) {
	for counter, value := range c {
		visit(Counter(counter).String(), value)
	}
}
