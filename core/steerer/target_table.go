package steerer

import (
	"slices"
	"strings"
)

// targetTable holds the targets that this host knows.
type targetTable struct {
	byID  map[string]*target
	byTag map[Tag]*target
	// byService lists, for each service, the targets that new flows may go to: those
	// that hold their tag.
	byService map[string][]*target
	// tagless are targets whose tag another one holds.
	tagless []*target
	// sameZone is the availability zone whose targets stand first in each list of byService.
	sameZone string
	// zones are the availability zones of targets that were ever listed; see target.zone.
	zones []string
	// sorted is byID in the order of IDs.
	sorted []*target
	// digestSum is the sum of the digests of all targets.
	digestSum uint64
	// slots adds up the slots of each service's choices; uncounted are the targets whose part
	// in it may have changed.
	slots      map[string]*slotTotals
	slotsStale []*target
	// inUse are the targets that have flows or were found silent, or failing, of late; gone are
	// those that are no longer listed. Both in the order in which they became so.
	inUse []*target
	gone  []*target
	// history is what became of targets of late.
	history history
	// entriesVisited counts the entries of the lists handed out: what events cost that go through
	// them.
	entriesVisited uint64
}

func newTargetTable(near string) targetTable {
	return targetTable{byID: map[string]*target{}, byTag: map[Tag]*target{}, byService: map[string][]*target{}, slots: map[string]*slotTotals{}, sameZone: near}
}

// upsert adds a target or changes its record; recordState has to follow. It reports whether
// another target already has its tag; such a target can't be told apart in packets.
func (t *targetTable) upsert(record Target) (*target, bool) {
	one, known := t.byID[record.ID]
	if !known {
		one = &target{tag: record.Number.tag()}
		t.byID[record.ID] = one
		t.sorted = slices.Insert(t.sorted, t.sortedIndex(record.ID), one)
	}
	if one.AvailabilityZone != record.AvailabilityZone {
		t.listUnder(one, "") // Its place in the list depends on its zone.
	}
	one.Target = record
	one.zone = t.zoneIndex(record.AvailabilityZone)
	return one, !t.claimTag(one)
}

// zoneIndex returns the place of a zone in zones.
func (t *targetTable) zoneIndex(zone string) int {
	at := slices.Index(t.zones, zone)
	if at < 0 {
		at = len(t.zones)
		t.zones = append(t.zones, zone)
	}
	return at
}

// claimTag makes a target the one that its tag names, unless another that is listed
// has the tag already. It reports whether the target holds it.
//
// What goes wrong if a target without its tag, or one that has changed its service,
// stays among the choices: a flow is placed on it, and the flow's later packets go to
// the tag's holder, or it runs what another service was asked.
func (t *targetTable) claimTag(one *target) bool {
	if holder := t.byTag[one.tag]; holder != nil && holder != one {
		if !holder.missing {
			t.listUnder(one, "")
			t.awaitTag(one)
			return false
		}
		t.listUnder(holder, "")
	}
	t.byTag[one.tag] = one
	t.listUnder(one, one.Service)
	return true
}

// awaitTag notes that another target holds a target's tag.
func (t *targetTable) awaitTag(one *target) {
	if !slices.Contains(t.tagless, one) {
		t.tagless = append(t.tagless, one)
	}
}

// handOverTag gives the tag of a target that is no longer listed to one that waits for it.
func (t *targetTable) handOverTag(gone *target) {
	waiting := t.tagless
	t.tagless = nil
	for _, one := range waiting {
		if t.byID[one.ID] != one || one.missing || one.listedUnder != "" {
			continue
		}
		if one.tag == gone.tag {
			t.claimTag(one)
		} else {
			t.tagless = append(t.tagless, one)
		}
	}
}

// listUnder moves a target to the choices of a service, or takes it out of all.
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

// insertCandidate adds a target to the choices of a service, behind those of the near zone.
func (t *targetTable) insertCandidate(choices []*target, one *target) []*target {
	if one.AvailabilityZone != t.sameZone {
		return append(choices, one)
	}
	firstRemote := slices.IndexFunc(choices, func(other *target) bool { return other.AvailabilityZone != t.sameZone })
	if firstRemote < 0 {
		firstRemote = len(choices)
	}
	return slices.Insert(choices, firstRemote, one)
}

// remove forgets a target.
func (t *targetTable) remove(gone *target) {
	t.sorted = slices.Delete(t.sorted, t.sortedIndex(gone.ID), t.sortedIndex(gone.ID)+1)
	t.listUnder(gone, "")
	t.history.completeSince = t.history.completeSince.Later(gone.seenPosition)
	t.digestSum -= gone.digest
	gone.digest = 0
	if gone.slotsStale {
		t.slotsStale = slices.DeleteFunc(t.slotsStale, func(one *target) bool { return one == gone })
	}
	delete(t.byID, gone.ID)
	if t.byTag[gone.tag] == gone {
		delete(t.byTag, gone.tag)
	}
}

// sortedIndex is where a target with an ID stands in sorted, or would stand.
func (t *targetTable) sortedIndex(id string) int {
	at, _ := slices.BinarySearchFunc(t.sorted, id, func(one *target, id string) int { return strings.Compare(one.ID, id) })
	return at
}

// ordered lists all targets by ID, so that equal events give equal effects.
func (t *targetTable) ordered() []*target {
	t.entriesVisited += uint64(len(t.sorted))
	return t.sorted
}

// localCandidates lists the targets of a service in the near zone that new flows may go to.
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

// candidates lists the targets of a service that new flows may go to, those of the near zone
// first.
func (t *targetTable) candidates(service string) []*target {
	list := t.byService[service]
	t.entriesVisited += uint64(len(list))
	return list
}
