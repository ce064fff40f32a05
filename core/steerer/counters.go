package steerer

import "time"

// Counter names something that a host counts.
type Counter uint8

// What is counted.
const (
	// DropNotReady counts packets that came too long before this host knew settings
	// and targets.
	DropNotReady Counter = iota
	// DropUnknownTag counts packets whose target this host does not know.
	DropUnknownTag
	// Refused counts flows that were refused before anything ran.
	Refused
	// FlowReset counts open flows that were reset.
	FlowReset
	// ProbeSent counts liveness checks.
	ProbeSent
	// FlowTableFull counts flows beyond Config.MaxFlows.
	FlowTableFull
	// SettingsReads and TargetsReads count reads of the platform, ReadsFailed
	// those of them that failed.
	SettingsReads
	TargetsReads
	ReadsFailed
	// ReportsSent counts reports to other hosts.
	ReportsSent
	// FastFailure counts answers that came more quickly than work can be done.
	FastFailure
	// TargetMalformed counts entries that name no target, once for each change.
	TargetMalformed
	// RequestQueued counts requests that had to wait at this host.
	RequestQueued
	// RefusedNoCapacity counts those of the refused flows for which there was no room,
	// RefusedOverload those that would have waited behind others at this host.
	RefusedNoCapacity
	RefusedOverload
	// RefusedFull counts flows that were refused because all targets are full, FlowRedispatched those
	// that this host sent on because a target did not take them.
	RefusedFull
	FlowRedispatched
	// DropStale counts packets that came while this host stood still.
	DropStale
	// StoreRestored counts restores of the platform's store that this host has learned of.
	StoreRestored
	// TargetSlow counts targets that turned slow, TrialFlow the flows that went to a slow
	// target to learn whether it is quick again.
	TargetSlow
	TrialFlow
	// RefusedCallerShare and RefusedCallerQuota count those of the refused flows whose
	// caller had more than its share of a service short of room, or had used up a quota.
	RefusedCallerShare
	RefusedCallerQuota
	numCounters
)

func (c Counter) String() string { return counterNames[c] }

// counterNames are the counts' names in metrics.
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
}

// Counters holds a number for each Count.
type Counters [numCounters]uint64

func (c *Counters) add(counter Counter) { c[counter]++ }

// Snapshot is a host's state in figures, for metrics.
type Snapshot struct {
	Counters Counters
	Flows    int
	Targets  int
	// Unreachable counts the targets that did not answer.
	Unreachable int
	// Evacuated counts the zones that operators have ordered to be evacuated, Cold the
	// targets that have just started or whose zone has just been taken back.
	Evacuated int
	Cold      int
	// Slow counts the targets that take markedly longer than others of their zone.
	Slow  int
	Peers int
	// Live counts those of the other hosts that live as far as anybody says.
	Live    int
	Version uint64
	// Era is the newest era of the platform's history that the host has heard of; 0 if the
	// platform tells none.
	Era uint64
	// SettingsAge and TargetsAge tell for how long settings and targets have not
	// been confirmed.
	SettingsAge time.Duration
	TargetsAge  time.Duration
	// Queued counts the requests that wait at this host, Pressed the services that are
	// asked for more than their targets can do.
	Queued    int
	Congested int
	// Overloaded counts the services that are asked for more than their targets have room for.
	// Room and Demand are those of the fullest service, in slots.
	Overloaded int
	Capacity   float64
	Demand     float64
	// Connections counts the flows at the targets of services that are short of connections,
	// as far as known, ConnectionCapacity how many there may be.
	Connections        int
	ConnectionCapacity int
	// Callers counts the addresses and prefixes of callers that are kept.
	Callers int
	Ready   bool
}

// Snapshot returns the present figures.
func (s *Steerer) Snapshot() Snapshot {
	snapshot := Snapshot{Counters: s.counts, Flows: len(s.flows), Targets: len(s.targets.byID), Peers: len(s.peers.byName), Live: s.alivePeers(), Version: s.version()}
	snapshot.SettingsAge = age(s.now, s.reading.settings.confirmed)
	snapshot.TargetsAge = age(s.now, s.reading.targets.confirmed)
	snapshot.Ready = s.Ready()
	snapshot.Era = s.reading.era
	snapshot.Queued = s.paced
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

// Each calls a function with each count's name and value.
func (c *Counters) Each(do func(name string, value uint64)) {
	for counter, value := range c {
		do(Counter(counter).String(), value)
	}
}
