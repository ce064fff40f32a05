package steerer

import (
	"slices"
	"strings"
)

// targetTable holds the targets that this host knows.
type targetTable struct {
	byID  map[string]*target
	byTag map[Tag]*target
	// byService holds the candidates for new flows of each service: the targets that own
	// their tag.
	byService map[string][]*target
	// tagless holds the targets whose tag is owned by another target.
	tagless []*target
	// sameZone is the local availability zone, whose targets come first in each list of
	// byService.
	sameZone string
	// zones holds the availability zones of all targets ever listed; see target.zone.
	zones []string
	// sorted holds the targets of byID in the order of their IDs.
	sorted []*target
	// digestSum is the sum of the digests of all targets.
	digestSum uint64
	// slots holds the sum of the slots of each service's candidates; slotsStale holds the
	// targets whose contribution may have changed.
	slots      map[string]*slotTotals
	slotsStale []*target
	// inUse holds the targets that have flows, are suspect or unreachable, or recently had
	// fast failures; missing holds those that are no longer listed. Both are in the order in
	// which the targets were added.
	inUse   []*target
	missing []*target
	// history holds the recent changes of targets.
	history history
	// entriesVisited counts the entries of the lists that were returned, as a measure of
	// the cost of events that iterate over them.
	entriesVisited uint64
}

func newTargetTable(sameZone string) targetTable {
	return targetTable{byID: map[string]*target{}, byTag: map[Tag]*target{}, byService: map[string][]*target{}, slots: map[string]*slotTotals{}, sameZone: sameZone}
}

// upsert adds a target or replaces its record; recordState has to be called afterwards. It
// reports whether another target already owns its tag; such a target cannot be addressed in
// packets.
func (t *targetTable) upsert(record Target) (*target, bool) {
	one, known := t.byID[record.ID]
	if !known {
		one = &target{tag: record.Number.tag()}
		t.byID[record.ID] = one
		t.sorted = slices.Insert(t.sorted, t.sortedIndex(record.ID), one)
	}
	if one.AvailabilityZone != record.AvailabilityZone {
		t.listUnder(one, "") // Its position in the list depends on its zone.
	}
	one.Target = record
	one.zone = t.zoneIndex(record.AvailabilityZone)
	return one, !t.claimTag(one)
}

// zoneIndex returns the index of a zone in zones, and adds the zone if it is new.
func (t *targetTable) zoneIndex(zone string) int {
	at := slices.Index(t.zones, zone)
	if at < 0 {
		at = len(t.zones)
		t.zones = append(t.zones, zone)
	}
	return at
}

// claimTag makes a target the owner of its tag unless another listed target owns it. It
// reports whether the target owns it now.
//
// Without this, a target without its tag, or one that has changed its service, would remain
// a candidate. Later packets of a flow placed on it would go to the tag's owner, or it
// would get requests of a service that it does not run.
func (t *targetTable) claimTag(one *target) bool {
	if owner := t.byTag[one.tag]; owner != nil && owner != one {
		if !owner.missing {
			t.listUnder(one, "")
			t.awaitTag(one)
			return false
		}
		t.listUnder(owner, "")
	}
	t.byTag[one.tag] = one
	t.listUnder(one, one.Service)
	return true
}

// awaitTag records that another target owns a target's tag.
func (t *targetTable) awaitTag(one *target) {
	if !slices.Contains(t.tagless, one) {
		t.tagless = append(t.tagless, one)
	}
}

// handOverTag gives the tag of a target that is no longer listed to one that waits for it.
func (t *targetTable) handOverTag(missing *target) {
	waiting := t.tagless
	t.tagless = nil
	for _, one := range waiting {
		if t.byID[one.ID] != one || one.missing || one.listedUnder != "" {
			continue
		}
		if one.tag == missing.tag {
			t.claimTag(one)
		} else {
			t.tagless = append(t.tagless, one)
		}
	}
}

// listUnder moves a target to the candidates of a service, or removes it from all if
// service is empty.
func (t *targetTable) listUnder(one *target, service string) {
	if one.listedUnder == service {
		return
	}
	if one.listedUnder != "" {
		t.slotTotalsOf(one.listedUnder).set(one, 0)
		siblings := t.byService[one.listedUnder]
		t.byService[one.listedUnder] = slices.DeleteFunc(siblings, func(sibling *target) bool { return sibling == one })
	}
	if service != "" {
		t.markForRecount(one)
		t.byService[service] = t.insertCandidate(t.byService[service], one)
	}
	one.listedUnder = service
}

// insertCandidate adds a target to the candidates of a service, with those of the local
// zone first.
func (t *targetTable) insertCandidate(candidates []*target, one *target) []*target {
	if one.AvailabilityZone != t.sameZone {
		return append(candidates, one)
	}
	firstRemote := slices.IndexFunc(candidates, func(other *target) bool { return other.AvailabilityZone != t.sameZone })
	if firstRemote < 0 {
		firstRemote = len(candidates)
	}
	return slices.Insert(candidates, firstRemote, one)
}

// remove removes a target from the table.
func (t *targetTable) remove(removed *target) {
	t.sorted = slices.Delete(t.sorted, t.sortedIndex(removed.ID), t.sortedIndex(removed.ID)+1)
	t.listUnder(removed, "")
	t.history.completeSince = t.history.completeSince.Later(removed.seenPosition)
	t.digestSum -= removed.digest
	removed.digest = 0
	if removed.slotsStale {
		t.slotsStale = slices.DeleteFunc(t.slotsStale, func(one *target) bool { return one == removed })
	}
	delete(t.byID, removed.ID)
	if t.byTag[removed.tag] == removed {
		delete(t.byTag, removed.tag)
	}
}

// sortedIndex returns the index in sorted of the target with the given ID, or the index at
// which it would be inserted.
func (t *targetTable) sortedIndex(id string) int {
	at, _ := slices.BinarySearchFunc(t.sorted, id, func(one *target, id string) int { return strings.Compare(one.ID, id) })
	return at
}

// ordered returns all targets in the order of their IDs, so that the same events give the
// same effects.
func (t *targetTable) ordered() []*target {
	t.entriesVisited += uint64(len(t.sorted))
	return t.sorted
}

// localCandidates returns the candidates of a service in the local zone.
func (t *targetTable) localCandidates(service string) []*target {
	list := t.byService[service]
	count, _ := slices.BinarySearchFunc(list, true, func(one *target, _ bool) int {
		if one.AvailabilityZone == t.sameZone {
			return -1
		}
		return 1
	})
	return list[:count]
}

// candidates returns the candidates of a service, those of the local zone first.
func (t *targetTable) candidates(service string) []*target {
	list := t.byService[service]
	t.entriesVisited += uint64(len(list))
	return list
}
