package mirror

import (
	"cmp"
	"errors"
)

// Version identifies a state of the store. The store's era increases each time it
// is restored from an older copy; its revision then goes back, and revisions are
// assigned again. The era is 0 if the store does not report one.
type Version struct {
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"revision"`
}

// Compare returns a negative number if v is before other, a positive one if it is
// after other, and 0 if they are equal. Eras are compared first.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Era, other.Era), cmp.Compare(v.Revision, other.Revision))
}

var (
	// ErrStaleSnapshot is returned for a snapshot whose version is lower than that
	// of the replica.
	ErrStaleSnapshot = errors.New("snapshot is older than the replica")
	// ErrHigherEra is returned for changes of a higher era than the replica's. They
	// can only be applied after a snapshot of that era.
	ErrHigherEra = errors.New("the store was restored, a snapshot of its new era is needed")
	// ErrLowerEra is returned for an answer of a lower era than the replica's.
	ErrLowerEra = errors.New("the answer is from a lower era of the store")
)
