package steerer

// Visits counts the entries of the lists of targets and hosts that events went through.
func (s *Steerer) Visits() (targets, hosts uint64) { return s.targets.entriesVisited, s.peers.visits }

// Digest is equal for hosts that list the same targets in the same states.
func (s *Steerer) Digest() uint64 { return s.targets.digest() }
