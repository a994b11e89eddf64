package conf

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"time"
)

const (
	// HeadKey is the key of the head in the platform's store.
	HeadKey = "lagoonramp/head"
	// bodyPrefix is the prefix of the keys of section bodies.
	bodyPrefix = "lagoonramp/section/"
	// maxHistory is the maximum number of commits in the head's history. An
	// edit that is repeated after its commit has left the history is no longer
	// recognized by its ID.
	maxHistory = 100
)

// Head lists the sections of a revision. Writing it to the store is the commit
// point of an edit.
type Head struct {
	// Revision is the number of commits so far. Revision 0 is the empty
	// configuration.
	Revision uint64 `json:"revision"`
	// Sections maps team names to sections.
	Sections map[string]SectionRef `json:"sections"`
	// History lists the most recent commits, oldest first.
	History []Commit `json:"history"`
}

// SectionRef refers to a section body.
type SectionRef struct {
	// Revision is the revision of the head that last changed the section.
	Revision uint64 `json:"revision"`
	// Digest is the digest of the body.
	Digest string `json:"digest"`
}

// Commit describes a committed edit.
type Commit struct {
	Revision uint64    `json:"revision"`
	Team     string    `json:"team"`
	Digest   string    `json:"digest"`
	ID       string    `json:"id"`
	Who      string    `json:"who"`
	At       time.Time `json:"at"`
}

// Digest returns the hexadecimal SHA-256 digest of a section body.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// BodyKey returns the key of the body with the given digest.
func BodyKey(digest string) string { return bodyPrefix + digest }

// EncodeSection returns the body of a section, its canonical JSON encoding.
func EncodeSection(s Section) []byte {
	b, err := json.Marshal(s)
	if err != nil {
		panic("conf: a section must be encodable: " + err.Error())
	}
	return b
}

// commitByID returns the commit with the given ID if the history contains it.
func (h *Head) commitByID(id string) (Commit, bool) {
	for _, c := range h.History {
		if c.ID == id {
			return c, true
		}
	}
	return Commit{}, false
}

// withCommit returns the head that results from commit c. It does not modify
// h.
func (h *Head) withCommit(c Commit) *Head {
	n := &Head{Revision: h.Revision + 1, Sections: map[string]SectionRef{}}
	for team, ref := range h.Sections {
		n.Sections[team] = ref
	}
	c.Revision = n.Revision
	n.Sections[c.Team] = SectionRef{Revision: n.Revision, Digest: c.Digest}
	n.History = append(slices.Clone(h.History), c)
	if len(n.History) > maxHistory {
		n.History = n.History[len(n.History)-maxHistory:]
	}
	return n
}

// references reports whether a section or a commit of the history has the
// given digest.
func (h *Head) references(digest string) bool {
	for _, ref := range h.Sections {
		if ref.Digest == digest {
			return true
		}
	}
	return slices.ContainsFunc(h.History, func(c Commit) bool { return c.Digest == digest })
}
