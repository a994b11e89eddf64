package conf

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// allTeams is the team that a republication is noted under.
const allTeams = "*"

// Republish writes what a host has in force back to a platform that went back
// in time, as a new revision. It changes nothing and returns an error if the
// platform is not behind. After an error that wraps store.ErrUnknown a repeat
// with the same id settles whether it took effect.
func Republish(ctx context.Context, kv KV, a *Snapshot, who, id string, at time.Time) (Commit, error) {
	h, version, err := ReadHead(ctx, kv)
	if err != nil {
		return Commit{}, err
	}
	if known, ok := h.find(id); ok {
		return known, nil
	}
	if h.Revision >= a.Head.Revision {
		return Commit{}, fmt.Errorf("the platform is at revision %d, which is not behind %d in force; nothing was changed",
			h.Revision, a.Head.Revision)
	}
	for _, body := range a.Bodies {
		if err := PersistBody(ctx, kv, body); err != nil {
			return Commit{}, err
		}
	}
	next := *a.Head
	next.Revision++
	c := Commit{Revision: next.Revision, Team: allTeams, ID: id, Who: who, At: at}
	next.History = append(slices.Clone(a.Head.History), c)
	data, err := json.Marshal(next)
	if err != nil {
		return Commit{}, eris.Wrap(err, "encode the head")
	}
	if _, err := kv.CompareAndSwap(ctx, HeadKey, data, version, 0); err != nil {
		return Commit{}, eris.Wrap(err, "write the head back")
	}
	return c, nil
}
