package conf

import "fmt"

// Alarm says that something is wrong with what a host was offered.
type Alarm string

// The alarms of an Adopter.
const (
	// AlarmBack: the platform offered an older head than it had before.
	AlarmRollback Alarm = "platformWentBack"
	// AlarmFork: another head with the same revision was offered.
	AlarmFork Alarm = "revisionForked"
	// AlarmDamaged: a body did not match its digest or failed the check.
	AlarmDamaged Alarm = "bodyDamaged"
)

// Source says where an offer came from.
type Source uint8

// The sources.
const (
	FromPlatform Source = iota
	FromPeer
)

// Adopted is a configuration in force.
type Snapshot struct {
	Head     *Head
	Document *Document
	// Bodies holds the encoded sections by digest.
	Bodies map[string][]byte
}

// Adopter decides which offered heads a host puts in force. Revisions only go
// up. The zero value has nothing in force.
type Adopter struct {
	now *Snapshot
}

// InForce returns what is in force, nil if nothing is.
func (a *Adopter) InForce() *Snapshot { return a.now }

// Revision returns the revision in force, 0 if nothing is.
func (a *Adopter) Revision() uint64 {
	if a.now == nil {
		return 0
	}
	return a.now.Head.Revision
}

// Missing returns the digests of the bodies that adopting h would need.
func (a *Adopter) MissingBodies(h *Head) []string {
	var out []string
	for _, ref := range h.Sections {
		if a.now != nil && a.now.Bodies[ref.Digest] != nil {
			continue
		}
		out = append(out, ref.Digest)
	}
	return out
}

// Offer offers a head with the bodies that Missing named. It returns whether
// the head is now in force, and an alarm if the offer was wrong.
func (a *Adopter) Offer(h *Head, bodies map[string][]byte, src Source) (adopted bool, alarm Alarm, err error) {
	cur := a.Revision()
	switch {
	case h.Revision < cur && src == FromPlatform:
		return false, AlarmRollback, &StaleHeadError{Platform: h.Revision, InForce: cur}
	case h.Revision < cur:
		return false, "", nil
	case h.Revision == cur && cur > 0 && a.forked(h):
		return false, AlarmFork, fmt.Errorf("revision %d was offered with other sections than those in force", cur)
	case h.Revision == cur:
		return false, "", nil
	}
	next, err := a.assemble(h, bodies)
	if err != nil {
		return false, AlarmDamaged, err
	}
	a.now = next
	return true, "", nil
}

func (a *Adopter) forked(h *Head) bool {
	for team, ref := range h.Sections {
		if a.now.Head.Sections[team] != ref {
			return true
		}
	}
	return len(h.Sections) != len(a.now.Head.Sections)
}

// assemble checks the bodies against their digests and the whole document.
func (a *Adopter) assemble(h *Head, bodies map[string][]byte) (*Snapshot, error) {
	n := &Snapshot{Head: h, Document: &Document{Teams: map[string]Section{}}, Bodies: map[string][]byte{}}
	for team, ref := range h.Sections {
		body := bodies[ref.Digest]
		if body == nil && a.now != nil {
			body = a.now.Bodies[ref.Digest]
		}
		if body == nil || Digest(body) != ref.Digest {
			return nil, fmt.Errorf("the body %.12s of section %q is missing or damaged", ref.Digest, team)
		}
		var s Section
		if err := Decode(body, &s); err != nil {
			return nil, fmt.Errorf("section %q: %w", team, err)
		}
		n.Document.Teams[team] = s
		n.Bodies[ref.Digest] = body
	}
	if err := Check(n.Document); err != nil {
		return nil, err
	}
	return n, nil
}
