package steerer

// Visits returns how many entries of the lists of targets and hosts were visited, as a
// measure of the cost of events.
func (s *Steerer) Visits() (targets, hosts uint64) {
	return s.targets.entriesVisited, s.peers.entriesVisited
}

// Digest returns the digest of the target table. It is equal for hosts that list the same
// targets in the same states.
func (s *Steerer) Digest() uint64 { return s.targets.digest() }
