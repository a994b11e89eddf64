package marked

import (
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"lagoonramp.org/lagoonramp/pkg/fleet"
	"lagoonramp.org/lagoonramp/pkg/mark"
	"lagoonramp.org/lagoonramp/pkg/mirror"
	"lagoonramp.org/lagoonramp/pkg/steer"
)

// This file checks what other hosts send, at the boundary: what comes after it
// relies on the ranges. What is invalid is dropped, counted and logged at a limited
// rate; the rest of the message counts.

// maxMessageAge bounds the durations in messages of other hosts.
const maxMessageAge = 365 * 24 * time.Hour

// rejectMessage records that a message of another host, or a part of it, is
// invalid.
func (h *Host) rejectMessage(from string, err error) {
	h.malformedMessages.Add(1)
	h.sampledLog.Warn("peers: malformed message", zap.String("peer", from), zap.Error(err))
}

// parsePeerAddress returns the peer address of a host.
func parsePeerAddress(text string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(text)
	if err != nil || !a.Addr().Is4() || a.Port() == 0 {
		return netip.AddrPort{}, fmt.Errorf("%q is not an IPv4 address with a nonzero port", text)
	}
	return a, nil
}

// validate returns an error if a digest is of no use, and limits its durations.
func (d *digest) validate() error {
	if _, err := parsePeerAddress(d.Address); err != nil {
		return err
	}
	for _, t := range []*time.Duration{&d.Age, &d.ReadyFor, &d.SinceStopRequest} {
		*t = min(max(0, *t), maxMessageAge) // A replica cannot be current in the future.
	}
	return validateItems(d.Items, d.Revision)
}

// validateItems returns an error if an item is not one of the store at a revision.
func validateItems(items []mirror.Item, revision uint64) error {
	for _, i := range items {
		if i.Key == "" || i.Revision == 0 || i.Revision > revision {
			return fmt.Errorf("item %q with revision %d of %d", i.Key, i.Revision, revision)
		}
	}
	return nil
}

// validateDelta returns an error if a delta cannot be applied, and limits its age.
// Items of a snapshot may be newer than its revision.
func validateDelta(d *mirror.Delta) error {
	d.Age = min(max(0, d.Age), maxMessageAge)
	if d.Revision == 0 || d.CompactedRevision > d.Revision {
		return fmt.Errorf("revision %d, compacted at %d", d.Revision, d.CompactedRevision)
	}
	for _, i := range d.Items {
		if i.Key == "" || i.Revision == 0 {
			return errors.New("an item without a key or a revision")
		}
	}
	return nil
}

// dropInvalid removes the invalid parts of the retained state of another host.
func (h *Host) dropInvalid(from string, r *fleet.RetainedState) {
	r.Servers = slices.DeleteFunc(r.Servers, func(d fleet.DepartedServer) bool { return h.isInvalid(from, d.Validate()) })
	r.Targets = slices.DeleteFunc(r.Targets, func(f fleet.FormerTarget) bool { return h.isInvalid(from, f.Validate()) })
	r.Marks.Holdings = slices.DeleteFunc(r.Marks.Holdings, func(m mark.Holding) bool {
		return m.ID == "" || min(m.ChallengedFor, m.QuietFor) < 0 || max(m.ChallengedFor, m.QuietFor) > maxMessageAge
	})
	maps.DeleteFunc(r.SinceEvacuation, func(_ string, ago time.Duration) bool { return ago < 0 || ago > maxMessageAge })
}

// validPins returns the valid pins among those of another host.
func (h *Host) validPins(from string, pins []steer.Pin) []steer.Pin {
	return slices.DeleteFunc(slices.Clone(pins), func(p steer.Pin) bool { return h.isInvalid(from, validatePin(p)) })
}

func validatePin(p steer.Pin) error {
	if p.Mark == 0 || !p.Key.Caller.Addr().Is4() || !p.Key.Service.Addr().Is4() {
		return fmt.Errorf("pin of flow %s to %s with mark %d", p.Key.Caller, p.Key.Service, p.Mark)
	}
	return nil
}

// isInvalid records that a part of a message is invalid, if err is not nil.
func (h *Host) isInvalid(from string, err error) bool {
	if err != nil {
		h.rejectMessage(from, err)
	}
	return err != nil
}
