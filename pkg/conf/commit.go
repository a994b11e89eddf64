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
	// maxCommitAttempts bounds the attempts to commit one edit, or to persist
	// one body, in the face of concurrent writes.
	maxCommitAttempts = 16
	// uncommittedBodyLease is the lease of a body that is written before its
	// commit, so that the body expires if the commit never happens.
	uncommittedBodyLease = 15 * time.Minute
)

// KV is the part of the platform's key-value store that commits use.
type KV interface {
	// Get returns the value of a key, with version 0 if the key is absent.
	Get(ctx context.Context, key string) (store.Value, error)
	// CompareAndSwap writes value if the key is at the given version, where 0
	// means absent, and returns the new version. The value expires after
	// lease; with a lease of 0 it never expires. CompareAndSwap returns
	// store.ErrConflict if the version differs and store.ErrOutcomeUnknown if
	// the write may or may not have taken effect.
	CompareAndSwap(ctx context.Context, key string, value []byte, version uint64, lease time.Duration) (uint64, error)
	// Delete removes a key if it is at the given version.
	Delete(ctx context.Context, key string, version uint64) error
}

// Edit replaces the section of one team.
type Edit struct {
	// Team is the team that owns the section.
	Team string
	// Section is the complete new section.
	Section Section
	// Base is the revision of the section that the edit is based on, or 0 if
	// the team has no section yet.
	Base uint64
	// Who names the author of the edit.
	Who string
	// ID is the idempotency key of the edit: an edit that is submitted again
	// with the same ID is committed only once.
	ID string
	// At is the wall-clock time of the edit.
	At time.Time
}

// ConflictError reports that the section's revision differs from the edit's
// base, because another edit was committed. The edit changed nothing.
type ConflictError struct {
	Team string
	// Base is the revision that the edit is based on, Current the section's
	// current revision.
	Base, Current uint64
	// Last is the section's latest commit, or zero if the head's history no
	// longer contains it.
	Last Commit
	// Theirs is the current section.
	Theirs Section
}

// Error returns a message that names the team, both revisions and the author
// of the latest commit.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("section %q is at revision %d (by %s), the edit was made from %d; nothing was changed",
		e.Team, e.Current, e.Last.Who, e.Base)
}

// StaleHeadError reports that the head in the platform's store is older than
// one that was in force before, as after a restore from a backup.
type StaleHeadError struct {
	// Platform is the revision that was read, InForce the highest revision
	// known to have been in force.
	Platform, InForce uint64
}

// Error returns a message that names both revisions.
func (e *StaleHeadError) Error() string {
	return fmt.Sprintf("the platform went back to revision %d, revision %d is in force; nothing was changed",
		e.Platform, e.InForce)
}

// Committer commits edits to the platform's store.
type Committer struct {
	KV KV
	// MinRevision is the highest revision known to have been in force. Put
	// fails with a *StaleHeadError if the stored head is lower.
	MinRevision uint64
}

// ReadHead returns the head and the version of its key in the store. If the
// key is absent, it returns an empty head of revision 0 and version 0.
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

// ReadSection returns the section whose body has the given digest.
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

// ReadDocument returns the document made of all sections that h refers to.
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
// a *CheckError, a *StaleHeadError, or wraps an error of the store. After an
// error of the store the edit may have been committed; calling Put again with
// the same ID is safe and resolves the outcome.
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
	for range maxCommitAttempts {
		decided, commit, err := c.attempt(ctx, e, body)
		if decided || err != nil {
			return commit, err
		}
	}
	return Commit{}, eris.Errorf("commit the edit of %q: lost %d races", e.Team, maxCommitAttempts)
}

// attempt tries once to commit an edit. decided is false without an error if
// the head changed concurrently or the outcome of its compare-and-swap is
// unknown; the next attempt then reads the head again.
func (c *Committer) attempt(ctx context.Context, e Edit, body []byte) (decided bool, commit Commit, err error) {
	head, version, err := ReadHead(ctx, c.KV)
	if err != nil {
		return false, Commit{}, err
	}
	if head.Revision < c.MinRevision {
		return false, Commit{}, &StaleHeadError{Platform: head.Revision, InForce: c.MinRevision}
	}
	if committed, ok := head.commitByID(e.ID); ok {
		return true, committed, c.persistBody(ctx, committed.Digest, body)
	}
	if err := c.checkEdit(ctx, head, e); err != nil {
		return false, Commit{}, err
	}
	digest := Digest(body)
	if err := c.writeBody(ctx, digest, body); err != nil {
		return false, Commit{}, err
	}
	newHead := head.withCommit(Commit{Team: e.Team, Digest: digest, ID: e.ID, Who: e.Who, At: e.At})
	data, err := json.Marshal(newHead)
	if err != nil {
		return false, Commit{}, eris.Wrap(err, "encode the head")
	}
	_, err = c.KV.CompareAndSwap(ctx, HeadKey, data, version, 0)
	if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrOutcomeUnknown) {
		return false, Commit{}, ctx.Err() // The next attempt reads the head to learn the outcome.
	}
	if err != nil {
		return false, Commit{}, eris.Wrap(err, "swap the head")
	}
	commit, _ = newHead.commitByID(e.ID)
	if err := c.persistBody(ctx, digest, body); err != nil {
		return true, commit, err
	}
	c.deleteUnreferencedBodies(ctx, head, newHead)
	return true, commit, nil
}

// checkEdit returns a *ConflictError if the section is no longer at the edit's
// base revision, and a *CheckError if the document would be invalid with the
// edit.
func (c *Committer) checkEdit(ctx context.Context, h *Head, e Edit) error {
	d, err := ReadDocument(ctx, c.KV, h)
	if err != nil {
		return err
	}
	if ref := h.Sections[e.Team]; ref.Revision != e.Base {
		conflict := &ConflictError{Team: e.Team, Base: e.Base, Current: ref.Revision, Theirs: d.Teams[e.Team]}
		for _, commit := range h.History {
			if commit.Team == e.Team {
				conflict.Last = commit
			}
		}
		return conflict
	}
	d.Teams[e.Team] = e.Section
	return Check(d)
}

// writeBody stores a body with a lease, so that it expires if no commit
// follows. A conflict means that the body is stored already.
func (c *Committer) writeBody(ctx context.Context, digest string, body []byte) error {
	_, err := c.KV.CompareAndSwap(ctx, BodyKey(digest), body, 0, uncommittedBodyLease)
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

// persistBody removes the lease of a committed body. It does nothing if the
// commit has another digest, as when its ID was used before for another edit.
func (c *Committer) persistBody(ctx context.Context, digest string, body []byte) error {
	if Digest(body) != digest {
		return nil
	}
	return PersistBody(ctx, c.KV, body)
}

// PersistBody ensures that a committed body is stored without a lease. Hosts
// that adopt a head call it too, so the body persists even if the committer
// crashed between the commit of the head and its own call.
func PersistBody(ctx context.Context, kv KV, body []byte) error {
	key := BodyKey(Digest(body))
	for range maxCommitAttempts {
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

// deleteUnreferencedBodies deletes the bodies in the history of old that
// current no longer refers to. Errors are ignored: a body that remains only
// takes up space.
func (c *Committer) deleteUnreferencedBodies(ctx context.Context, old, current *Head) {
	for _, commit := range old.History {
		if current.references(commit.Digest) {
			continue
		}
		v, err := c.KV.Get(ctx, BodyKey(commit.Digest))
		if err != nil || v.Version == 0 {
			continue
		}
		_ = c.KV.Delete(ctx, BodyKey(commit.Digest), v.Version)
	}
}
