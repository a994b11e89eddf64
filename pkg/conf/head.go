package conf

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"time"
)

const (
	// HeadKey is the key of the head in the platform's service.
	HeadKey = "lagoonramp/head"
	// bodyPrefix begins the keys of section bodies.
	bodyPrefix = "lagoonramp/section/"
	// maxHistory bounds the commits that the head remembers.
	maxHistory = 100
)

// Head is the commit point: what is in force.
type Head struct {
	// Revision counts commits; 0 is an empty configuration.
	Revision uint64 `json:"revision"`
	// Sections holds the sections by team.
	Sections map[string]SectionRef `json:"sections"`
	// History lists the latest commits, the latest last.
	History []Commit `json:"history"`
}

// SectionRef points to a section body.
type SectionRef struct {
	// Revision is the head's revision when the section was last changed.
	Revision uint64 `json:"revision"`
	// Digest names the body.
	Digest string `json:"digest"`
}

// Commit describes one accepted edit.
type Commit struct {
	Revision uint64    `json:"revision"`
	Team     string    `json:"team"`
	Digest   string    `json:"digest"`
	ID       string    `json:"id"`
	Who      string    `json:"who"`
	At       time.Time `json:"at"`
}

// Digest returns the name of a section body.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// BodyKey returns the key of the body with the given digest.
func BodyKey(digest string) string { return bodyPrefix + digest }

// Encode returns the canonical body of a section.
func EncodeSection(s Section) []byte {
	b, err := json.Marshal(s)
	if err != nil {
		panic("conf: a section must be encodable: " + err.Error())
	}
	return b
}

// find returns the commit with an identifier.
func (h *Head) find(id string) (Commit, bool) {
	for _, c := range h.History {
		if c.ID == id {
			return c, true
		}
	}
	return Commit{}, false
}

// next returns the head after a commit. The receiver stays as it is.
func (h *Head) next(c Commit) *Head {
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

// references reports whether a body is in force or in the history.
func (h *Head) references(digest string) bool {
	for _, ref := range h.Sections {
		if ref.Digest == digest {
			return true
		}
	}
	return slices.ContainsFunc(h.History, func(c Commit) bool { return c.Digest == digest })
}
