package slots

import (
	"cmp"
	"slices"
	"time"

	"lagoonramp.org/lagoonramp/pkg/rendez"
)

// Owners returns the owner of each slot. The result depends only on the
// arguments, so that hosts with the same lists agree on it. Each host owns at
// most its equal part of the slots, rounded up.
func Owners(service uint64, hosts []uint64, servers []Server) map[ID]uint64 {
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

// Reconfigure replaces the lists of hosts and servers. The list of hosts does
// not contain this host while it is leaving. Slots that move to another owner
// are handed over immediately if they are idle, or when their request ends if
// they are in use. Lent slots, and those that are not usable yet because their
// former owner may use them, are not handed over, so that the new owner waits for
// Settings.HandoverTimeout. Reconfigure appends the messages to out and
// returns it.
func (p *Pool) Reconfigure(now time.Duration, hosts []uint64, servers []Server, out []Message) []Message {
	formerOwners := p.owners
	p.owners = Owners(p.service, hosts, servers)
	var owned []ownedSlot
	for _, o := range p.owned {
		switch owner := p.owners[o.id]; {
		case owner == p.self:
			if o.state == lent && !slices.Contains(hosts, o.borrower) {
				o.state = idle // The borrower is no longer in the list.
				o.usableAt = now + p.settings.LostHostDelay
			}
			owned = append(owned, o)
		case o.state == inUse:
			p.movedInUse[o.id]++
		case o.state == idle && owner != 0 && now >= o.usableAt:
			out = append(out, p.newMessage(Handover, owner, o.id))
		}
	}
	for id, h := range p.owners {
		if h == p.self && !slices.ContainsFunc(owned, func(o ownedSlot) bool { return o.id == id }) {
			delay := p.settings.HandoverTimeout
			if !slices.Contains(hosts, formerOwners[id]) {
				delay = p.settings.LostHostDelay
			}
			owned = append(owned, p.newOwnedSlot(now, id, formerOwners[id], delay))
		}
	}
	slices.SortFunc(owned, func(x, y ownedSlot) int {
		return cmp.Or(cmp.Compare(x.id.Server, y.id.Server), cmp.Compare(x.id.Index, y.id.Index))
	})
	p.owned = owned
	p.listOtherOwners()
	p.hasHosts = len(hosts) > 0
	p.refusals = 0
	return out
}

// newOwnedSlot returns a slot that this host now owns. The slot is usable after
// the delay, or immediately if it is new or this host had an empty list of
// hosts before. If a request of this host still runs on the slot from an
// earlier ownership, the slot is in use.
func (p *Pool) newOwnedSlot(now time.Duration, id ID, formerOwner uint64, delay time.Duration) ownedSlot {
	o := ownedSlot{id: id, formerOwner: formerOwner}
	if p.hasHosts && formerOwner != 0 {
		o.usableAt = now + delay
	}
	if p.movedInUse[id] > 0 {
		p.movedInUse[id]--
		o.state = inUse
	}
	return o
}

// listOtherOwners updates otherOwners.
func (p *Pool) listOtherOwners() {
	p.otherOwners = p.otherOwners[:0]
	for _, h := range p.owners {
		if h != p.self && !slices.Contains(p.otherOwners, h) {
			p.otherOwners = append(p.otherOwners, h)
		}
	}
	slices.Sort(p.otherOwners)
}
