package conf

import "fmt"

// Alarm identifies why an offered head was rejected as faulty.
type Alarm string

// Alarms raised by Adopter.Offer.
const (
	// AlarmRollback reports that the platform offered a revision lower than the
	// one in force, as after a restore from a backup.
	AlarmRollback Alarm = "platformWentBack"
	// AlarmFork reports a head that has the revision in force but lists other
	// sections.
	AlarmFork Alarm = "revisionForked"
	// AlarmDamaged reports a body that is missing, does not match its digest
	// or cannot be decoded, or a document that fails Check.
	AlarmDamaged Alarm = "bodyDamaged"
)

// Source identifies where an offered head was read from.
type Source uint8

// Sources of an offered head.
const (
	FromPlatform Source = iota
	FromPeer
)

// Snapshot is one verified revision of the configuration.
type Snapshot struct {
	Head     *Head
	Document *Document
	// Bodies maps digests to encoded sections.
	Bodies map[string][]byte
}

// Adopter decides which offered heads a host puts in force. The revision in
// force never decreases. The zero value has no configuration in force.
type Adopter struct {
	current *Snapshot
}

// InForce returns the configuration in force, or nil if there is none.
func (a *Adopter) InForce() *Snapshot { return a.current }

// Revision returns the revision in force, or 0 if there is none.
func (a *Adopter) Revision() uint64 {
	if a.current == nil {
		return 0
	}
	return a.current.Head.Revision
}

// MissingBodies returns the digests of the bodies that h refers to and that the
// configuration in force does not contain.
func (a *Adopter) MissingBodies(h *Head) []string {
	var digests []string
	for _, ref := range h.Sections {
		if a.current != nil && a.current.Bodies[ref.Digest] != nil {
			continue
		}
		digests = append(digests, ref.Digest)
	}
	return digests
}

// Offer puts h in force if its revision is higher than the current one and
// its document is valid. bodies must contain the bodies that MissingBodies
// reports, by digest. Offer reports whether h was adopted; if h is faulty, it
// returns an alarm and an error. An outdated head from a peer is ignored without
// an alarm, since peers adopt revisions at different times.
func (a *Adopter) Offer(h *Head, bodies map[string][]byte, src Source) (adopted bool, alarm Alarm, err error) {
	currentRevision := a.Revision()
	switch {
	case h.Revision < currentRevision && src == FromPlatform:
		return false, AlarmRollback, &StaleHeadError{Platform: h.Revision, InForce: currentRevision}
	case h.Revision < currentRevision:
		return false, "", nil
	case h.Revision == currentRevision && currentRevision > 0 && a.isFork(h):
		return false, AlarmFork, fmt.Errorf("revision %d was offered with other sections than those in force", currentRevision)
	case h.Revision == currentRevision:
		return false, "", nil
	}
	verified, err := a.verify(h, bodies)
	if err != nil {
		return false, AlarmDamaged, err
	}
	a.current = verified
	return true, "", nil
}

// isFork reports whether h lists other sections than the head in force.
func (a *Adopter) isFork(h *Head) bool {
	for team, ref := range h.Sections {
		if a.current.Head.Sections[team] != ref {
			return true
		}
	}
	return len(h.Sections) != len(a.current.Head.Sections)
}

// verify checks every body of h against its digest and then the whole
// document. It takes bodies that are not offered from the configuration in
// force.
func (a *Adopter) verify(h *Head, bodies map[string][]byte) (*Snapshot, error) {
	verified := &Snapshot{Head: h, Document: &Document{Teams: map[string]Section{}}, Bodies: map[string][]byte{}}
	for team, ref := range h.Sections {
		body := bodies[ref.Digest]
		if body == nil && a.current != nil {
			body = a.current.Bodies[ref.Digest]
		}
		if body == nil || Digest(body) != ref.Digest {
			return nil, fmt.Errorf("the body %.12s of section %q is missing or damaged", ref.Digest, team)
		}
		var s Section
		if err := Decode(body, &s); err != nil {
			return nil, fmt.Errorf("section %q: %w", team, err)
		}
		verified.Document.Teams[team] = s
		verified.Bodies[ref.Digest] = body
	}
	if err := Check(verified.Document); err != nil {
		return nil, err
	}
	return verified, nil
}
