package conf

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"lagoonramp.org/lagoonramp/pkg/store"
)

const (
	// maxCommitTries bounds the tries of one edit against racing ones.
	maxCommitTries = 16
	// bodyLease is how long a body lives that no commit refers to.
	bodyLease = 15 * time.Minute
)

// KV is what a commit needs of the platform's service.
type KV interface {
	// Get returns a value; a version of 0 means that the key is absent.
	Get(ctx context.Context, key string) (store.Value, error)
	// Swap writes a value if the key has the given version, 0 for absent. A
	// lease of 0 keeps the value for good. It returns store.ErrConflict if
	// the version differs and store.ErrUnknown if the outcome is not known.
	CompareAndSwap(ctx context.Context, key string, value []byte, version uint64, lease time.Duration) (uint64, error)
	// Delete removes a key if it has the given version.
	Delete(ctx context.Context, key string, version uint64) error
}

// Edit is one team's edit of its section.
type Edit struct {
	// Team owns the section.
	Team string
	// Section is the whole new section.
	Section Section
	// Base is the revision of the section that the edit was made from, 0 if
	// the team had none.
	Base uint64
	// Who made the edit.
	Who string
	// ID is unique to the edit; a repeat with the same ID commits once.
	ID string
	// At is the wall time of the edit.
	At time.Time
}

// ConflictError says that somebody else changed the section since the edit's
// base. Nothing was changed.
type ConflictError struct {
	Team string
	// Base is what the edit was made from, Current what is in force.
	Base, Current uint64
	// Last is the latest commit of the section, if the head remembers it.
	Last Commit
	// Theirs is the section in force.
	Theirs Section
}

// Error names both revisions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("section %q is at revision %d (by %s), the edit was made from %d; nothing was changed",
		e.Team, e.Current, e.Last.Who, e.Base)
}

// BehindError says that the platform holds an older head than was seen.
type StaleHeadError struct {
	// Platform is the revision that was read, Seen the one known before.
	Platform, InForce uint64
}

// Error names both revisions.
func (e *StaleHeadError) Error() string {
	return fmt.Sprintf("the platform went back to revision %d, revision %d is in force; nothing was changed",
		e.Platform, e.InForce)
}

// Committer commits edits.
type Committer struct {
	KV KV
	// Seen is the highest revision known to be in force; a lower head is
	// refused.
	MinRevision uint64
}

// ReadHead returns the head and its version in the store. An absent head is
// revision 0.
func ReadHead(ctx context.Context, kv KV) (*Head, uint64, error) {
	v, err := kv.Get(ctx, HeadKey)
	if err != nil {
		return nil, 0, eris.Wrap(err, "read the head")
	}
	h := &Head{Sections: map[string]SectionRef{}}
	if v.Version == 0 {
		return h, 0, nil
	}
	if err := json.Unmarshal(v.Data, h); err != nil {
		return nil, 0, eris.Wrap(err, "decode the head")
	}
	return h, v.Version, nil
}

// ReadSection returns the section that a digest names.
func ReadSection(ctx context.Context, kv KV, digest string) (Section, error) {
	var s Section
	v, err := kv.Get(ctx, BodyKey(digest))
	if err != nil {
		return s, eris.Wrapf(err, "read the section body %.12s", digest)
	}
	if v.Version == 0 || Digest(v.Data) != digest {
		return s, eris.Errorf("the section body %.12s is missing or damaged", digest)
	}
	if err := Decode(v.Data, &s); err != nil {
		return s, eris.Wrapf(err, "decode the section body %.12s", digest)
	}
	return s, nil
}

// ReadDocument returns the whole document of a head.
func ReadDocument(ctx context.Context, kv KV, h *Head) (*Document, error) {
	d := &Document{Teams: map[string]Section{}}
	for team, ref := range h.Sections {
		s, err := ReadSection(ctx, kv, ref.Digest)
		if err != nil {
			return nil, err
		}
		d.Teams[team] = s
	}
	return d, nil
}

// Put commits an edit and returns its commit. The error is a *ConflictError,
// a *CheckError, a *BehindError, or wraps what the store said; in the last
// case a repeat with the same ID settles whether the edit was accepted.
func (c *Committer) Put(ctx context.Context, e Edit) (Commit, error) {
	if e.ID == "" {
		panic("conf: an edit must have an ID")
	}
	body := EncodeSection(e.Section)
	if len(body) > store.MaxValueBytes {
		return Commit{}, &CheckError{Faults: []Fault{{
			Field:   "teams." + e.Team,
			Problem: fmt.Sprintf("the section has %d bytes, at most %d are allowed", len(body), store.MaxValueBytes),
		}}}
	}
	for range maxCommitTries {
		done, commit, err := c.try(ctx, e, body)
		if done || err != nil {
			return commit, err
		}
	}
	return Commit{}, eris.Errorf("commit the edit of %q: lost %d races", e.Team, maxCommitTries)
}

// try makes one attempt. It returns done as false if another team's commit
// came in between.
func (c *Committer) try(ctx context.Context, e Edit, body []byte) (done bool, commit Commit, err error) {
	h, version, err := ReadHead(ctx, c.KV)
	if err != nil {
		return false, Commit{}, err
	}
	if h.Revision < c.MinRevision {
		return false, Commit{}, &StaleHeadError{Platform: h.Revision, InForce: c.MinRevision}
	}
	if known, ok := h.find(e.ID); ok {
		return true, known, c.keepBody(ctx, known.Digest, body)
	}
	if err := c.compatible(ctx, h, e); err != nil {
		return false, Commit{}, err
	}
	digest := Digest(body)
	if err := c.writeBody(ctx, digest, body); err != nil {
		return false, Commit{}, err
	}
	n := h.next(Commit{Team: e.Team, Digest: digest, ID: e.ID, Who: e.Who, At: e.At})
	data, err := json.Marshal(n)
	if err != nil {
		return false, Commit{}, eris.Wrap(err, "encode the head")
	}
	_, err = c.KV.CompareAndSwap(ctx, HeadKey, data, version, 0)
	if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrOutcomeUnknown) {
		return false, Commit{}, ctx.Err() // The next try reads what happened.
	}
	if err != nil {
		return false, Commit{}, eris.Wrap(err, "swap the head")
	}
	commit, _ = n.find(e.ID)
	if err := c.keepBody(ctx, digest, body); err != nil {
		return true, commit, err
	}
	c.collect(ctx, h, n)
	return true, commit, nil
}

// compatible checks the edit against what is in force.
func (c *Committer) compatible(ctx context.Context, h *Head, e Edit) error {
	d, err := ReadDocument(ctx, c.KV, h)
	if err != nil {
		return err
	}
	if ref := h.Sections[e.Team]; ref.Revision != e.Base {
		x := &ConflictError{Team: e.Team, Base: e.Base, Current: ref.Revision, Theirs: d.Teams[e.Team]}
		for _, past := range h.History {
			if past.Team == e.Team {
				x.Last = past
			}
		}
		return x
	}
	d.Teams[e.Team] = e.Section
	return Check(d)
}

// writeBody stores a body with a lease, so that it goes away by itself if no
// commit follows.
func (c *Committer) writeBody(ctx context.Context, digest string, body []byte) error {
	_, err := c.KV.CompareAndSwap(ctx, BodyKey(digest), body, 0, bodyLease)
	if err == nil || errors.Is(err, store.ErrConflict) {
		return nil
	}
	if !errors.Is(err, store.ErrOutcomeUnknown) {
		return eris.Wrap(err, "write the section body")
	}
	v, err := c.KV.Get(ctx, BodyKey(digest))
	if err != nil {
		return eris.Wrap(err, "settle the section body")
	}
	if v.Version == 0 {
		return eris.Errorf("write the section body %.12s: the platform did not take it", digest)
	}
	return nil
}

// keepBody makes the body of a commit permanent.
func (c *Committer) keepBody(ctx context.Context, digest string, body []byte) error {
	if Digest(body) != digest {
		return nil
	}
	return PersistBody(ctx, c.KV, body)
}

// KeepBody makes sure that a committed body is stored without a lease. Hosts
// that adopt a head call it too, so that a committer that died in between
// loses nothing.
func PersistBody(ctx context.Context, kv KV, body []byte) error {
	key := BodyKey(Digest(body))
	for range maxCommitTries {
		v, err := kv.Get(ctx, key)
		if err != nil {
			return eris.Wrap(err, "look up the section body")
		}
		if v.Version != 0 && !v.Leased {
			return nil
		}
		_, err = kv.CompareAndSwap(ctx, key, body, v.Version, 0)
		if err != nil && !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrOutcomeUnknown) {
			return eris.Wrap(err, "keep the section body")
		}
	}
	return eris.New("keep the section body: lost too many races")
}

// collect removes bodies that the new head no longer refers to. It is best
// effort: a body that stays only takes space.
func (c *Committer) collect(ctx context.Context, old, now *Head) {
	for _, past := range old.History {
		if now.references(past.Digest) {
			continue
		}
		v, err := c.KV.Get(ctx, BodyKey(past.Digest))
		if err != nil || v.Version == 0 {
			continue
		}
		_ = c.KV.Delete(ctx, BodyKey(past.Digest), v.Version)
	}
}
