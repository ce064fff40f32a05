package steerer

import "time"

// Count names something that a host counts.
type Count uint8

// What is counted.
const (
	// DropUnknowing counts packets that came too long before this host knew settings
	// and targets.
	DropUnknowing Count = iota
	// DropUnknownTag counts packets whose target this host does not know.
	DropUnknownTag
	// Refused counts flows that were refused before anything ran.
	Refused
	// FlowReset counts open flows that were reset.
	FlowReset
	// ProbeSent counts liveness checks.
	ProbeSent
	// NotRemembered counts flows beyond Config.MaxFlows.
	NotRemembered
	// SettingsReads and TargetsReads count reads of the platform, ReadsFailed
	// those of them that failed.
	SettingsReads
	TargetsReads
	ReadsFailed
	// ReportsSent counts reports to other hosts.
	ReportsSent
	// QuickAnswer counts answers that came more quickly than work can be done.
	QuickAnswer
	// TargetMalformed counts entries that name no target, once for each change.
	TargetMalformed
	// RequestPaced counts requests that had to wait at this host.
	RequestPaced
	// RefusedNoRoom counts those of the refused flows for which there was no room,
	// RefusedOverload those that would have waited behind others at this host.
	RefusedNoRoom
	RefusedOverload
	// RefusedFull counts flows that were refused because all targets are full, SentOn those
	// that this host sent on because a target did not take them.
	RefusedFull
	SentOn
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
	numCounts
)

func (c Count) String() string { return countNames[c] }

// countNames are the counts' names in metrics.
var countNames = [numCounts]string{
	DropUnknowing:      "dropUnknowing",
	DropUnknownTag:     "dropUnknownTag",
	Refused:            "refused",
	FlowReset:          "flowReset",
	ProbeSent:          "probeSent",
	NotRemembered:      "notRemembered",
	SettingsReads:      "settingsReads",
	TargetsReads:       "targetsReads",
	ReadsFailed:        "readsFailed",
	ReportsSent:        "reportsSent",
	QuickAnswer:        "quickAnswer",
	TargetMalformed:    "targetMalformed",
	RequestPaced:       "requestPaced",
	RefusedNoRoom:      "refusedNoRoom",
	RefusedOverload:    "refusedOverload",
	RefusedFull:        "refusedFull",
	SentOn:             "sentOn",
	DropStale:          "dropStale",
	StoreRestored:      "storeRestored",
	TargetSlow:         "targetSlow",
	TrialFlow:          "trialFlow",
	RefusedCallerShare: "refusedCallerShare",
	RefusedCallerQuota: "refusedCallerQuota",
}

// Counts holds a number for each Count.
type Counts [numCounts]uint64

func (c *Counts) add(count Count) { c[count]++ }

// Snapshot is a host's state in figures, for metrics.
type Snapshot struct {
	Counts  Counts
	Flows   int
	Targets int
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
	// Paced counts the requests that wait at this host, Pressed the services that are
	// asked for more than their targets can do.
	Paced   int
	Pressed int
	// Short counts the services that are asked for more than their targets have room for.
	// Room and Demand are those of the fullest service, in slots.
	Short  int
	Room   float64
	Demand float64
	// Connections counts the flows at the targets of services that are short of connections,
	// as far as known, ConnectionPlaces how many there may be.
	Connections      int
	ConnectionPlaces int
	// Callers counts the addresses and prefixes of callers that are kept.
	Callers int
	Ready   bool
}

// Snapshot returns the present figures.
func (s *Steerer) Snapshot() Snapshot {
	snapshot := Snapshot{Counts: s.counts, Flows: len(s.flows), Targets: len(s.targets.byID), Peers: len(s.peers.byName), Live: s.hostsHeardOf(), Version: s.version()}
	snapshot.SettingsAge = age(s.now, s.reading.settings.confirmed)
	snapshot.TargetsAge = age(s.now, s.reading.targets.confirmed)
	snapshot.Ready = s.Ready()
	snapshot.Era = s.reading.era
	snapshot.Paced = s.paced
	snapshot.Callers = s.throttler.CallerCount()
	snapshot.Evacuated = len(s.evacuator.Zones())
	for _, v := range s.services {
		if v.load.Congested() {
			snapshot.Pressed++
		}
	}
	s.addRoom(&snapshot)
	for _, v := range s.connections.tight {
		snapshot.Connections += v.flows
		snapshot.ConnectionPlaces += v.places
	}
	for _, t := range s.targets.byID {
		if t.health.unreachable() {
			snapshot.Unreachable++
		}
		if t.pace.Slow() {
			snapshot.Slow++
		}
		if s.cold(t) {
			snapshot.Cold++
		}
	}
	return snapshot
}

// Each calls a function with each count's name and value.
func (c *Counts) Each(do func(name string, value uint64)) {
	for count, value := range c {
		do(Count(count).String(), value)
	}
}
