package conf

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// republishTeam stands for all teams in the commit of a republication.
const republishTeam = "*"

// Republish writes the configuration that a host has in force to a platform
// that was rolled back to an older revision. The configuration gets a new
// revision. Republish changes nothing and returns an error if the platform's
// revision is not lower than the one in force. After an error that wraps
// store.ErrOutcomeUnknown the write may have taken effect; calling Republish
// again with the same id is safe and resolves the outcome.
func Republish(ctx context.Context, kv KV, snapshot *Snapshot, who, id string, at time.Time) (Commit, error) {
	h, version, err := ReadHead(ctx, kv)
	if err != nil {
		return Commit{}, err
	}
	if committed, ok := h.commitByID(id); ok {
		return committed, nil
	}
	if h.Revision >= snapshot.Head.Revision {
		return Commit{}, fmt.Errorf("the platform is at revision %d, which is not behind %d in force; nothing was changed",
			h.Revision, snapshot.Head.Revision)
	}
	for _, body := range snapshot.Bodies {
		if err := PersistBody(ctx, kv, body); err != nil {
			return Commit{}, err
		}
	}
	next := *snapshot.Head
	next.Revision++
	c := Commit{Revision: next.Revision, Team: republishTeam, ID: id, Who: who, At: at}
	next.History = append(slices.Clone(snapshot.Head.History), c)
	data, err := json.Marshal(next)
	if err != nil {
		return Commit{}, eris.Wrap(err, "encode the head")
	}
	if _, err := kv.CompareAndSwap(ctx, HeadKey, data, version, 0); err != nil {
		return Commit{}, eris.Wrap(err, "write the head back")
	}
	return c, nil
}
