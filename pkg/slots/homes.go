package slots

import (
	"cmp"
	"slices"
	"time"

	"lagoonramp.org/lagoonramp/pkg/rendez"
)

// Homes returns the owner of each slot. The result depends only on the
// arguments, so that hosts with the same lists agree on it. Each host owns at
// most its equal part of the slots, rounded up.
func Homes(service uint64, hosts []uint64, servers []Server) map[ID]uint64 {
	owners := map[ID]uint64{}
	if len(hosts) == 0 {
		return owners
	}
	var ids []ID
	for _, s := range servers {
		for i := range s.Slots {
			ids = append(ids, ID{s.ID, i})
		}
	}
	slices.SortFunc(ids, func(a, b ID) int {
		return cmp.Or(cmp.Compare(a.Index, b.Index), cmp.Compare(a.Server, b.Server))
	})
	limit := (len(ids) + len(hosts) - 1) / len(hosts)
	load := make(map[uint64]int, len(hosts))
	for _, id := range ids {
		key := rendez.Score(service^uint64(id.Index), id.Server)
		var owner, topScore uint64
		for _, h := range hosts {
			if load[h] >= limit {
				continue
			}
			if s := rendez.Score(key, h); owner == 0 || s > topScore {
				owner, topScore = h, s
			}
		}
		load[owner]++
		owners[id] = owner
	}
	return owners
}

// Set replaces the lists of hosts and servers. The list of hosts does not
// contain this host while it is leaving. Slots that move to another owner are
// handed over immediately if they are idle, or when their request ends if they
// are in use. Lent slots are not handed over, so that the new owner waits for
// Settings.Rest. Set appends the messages to out and returns it.
func (b *Book) Set(now time.Duration, hosts []uint64, servers []Server, out []Message) []Message {
	formerOwners := b.owners
	b.owners = Homes(b.service, hosts, servers)
	var owned []ownedSlot
	for _, o := range b.owned {
		switch owner := b.owners[o.id]; {
		case owner == b.self:
			if o.state == lent && !slices.Contains(hosts, o.borrower) {
				o.state = idle // The borrower is no longer in the list.
				o.usableAt = now + b.settings.RestLost
			}
			owned = append(owned, o)
		case o.state == inUse:
			b.movedInUse[o.id]++
		case o.state == idle && owner != 0:
			out = append(out, b.newMessage(Handover, owner, o.id))
		}
	}
	for id, h := range b.owners {
		if h == b.self && !slices.ContainsFunc(owned, func(o ownedSlot) bool { return o.id == id }) {
			delay := b.settings.Rest
			if !slices.Contains(hosts, formerOwners[id]) {
				delay = b.settings.RestLost
			}
			owned = append(owned, b.newOwnedSlot(now, id, formerOwners[id], delay))
		}
	}
	slices.SortFunc(owned, func(x, y ownedSlot) int {
		return cmp.Or(cmp.Compare(x.id.Server, y.id.Server), cmp.Compare(x.id.Index, y.id.Index))
	})
	b.owned = owned
	b.listOtherOwners()
	b.hasHosts = len(hosts) > 0
	b.refusals = 0
	return out
}

// newOwnedSlot returns a slot that this host now owns. The slot is usable after
// the delay, or immediately if it is new or this host had an empty list of
// hosts before. If a request of this host still runs on the slot from an
// earlier ownership, the slot is in use.
func (b *Book) newOwnedSlot(now time.Duration, id ID, formerOwner uint64, delay time.Duration) ownedSlot {
	o := ownedSlot{id: id, formerOwner: formerOwner}
	if b.hasHosts && formerOwner != 0 {
		o.usableAt = now + delay
	}
	if b.movedInUse[id] > 0 {
		b.movedInUse[id]--
		o.state = inUse
	}
	return o
}

// listOtherOwners updates otherOwners.
func (b *Book) listOtherOwners() {
	b.otherOwners = b.otherOwners[:0]
	for _, h := range b.owners {
		if h != b.self && !slices.Contains(b.otherOwners, h) {
			b.otherOwners = append(b.otherOwners, h)
		}
	}
	slices.Sort(b.otherOwners)
}
