package slots

import (
	"cmp"
	"slices"
	"time"

	"lagoonramp.org/lagoonramp/pkg/rendez"
)

// Homes returns the home of each slot. Every host that passes the same lists
// gets the same result.
func Owners(service uint64, hosts []uint64, servers []Server) map[ID]uint64 {
	out := map[ID]uint64{}
	if len(hosts) == 0 {
		return out
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
		var best, top uint64
		for _, h := range hosts {
			if load[h] >= limit {
				continue
			}
			if s := rendez.Score(key, h); best == 0 || s > top {
				best, top = h, s
			}
		}
		load[best]++
		out[id] = best
	}
	return out
}

// Set puts lists of hosts and servers in force. The hosts may lack this one,
// if it is leaving. Slots that this host loses are handed over at once if they
// are idle, else when their request ends.
func (b *Pool) Reconfigure(now time.Duration, hosts []uint64, servers []Server, out []Message) []Message {
	was := b.all
	b.all = Owners(b.service, hosts, servers)
	var next []own
	for _, o := range b.own {
		switch home := b.all[o.id]; {
		case home == b.self:
			if o.use == lent && !slices.Contains(hosts, o.borrower) {
				o.use = idle // The borrower is lost.
				o.usableAt = now + b.set.LostHostDelay
			}
			next = append(next, o)
		case o.use == busy:
			b.retired[o.id]++
		case o.use == idle && home != 0:
			out = append(out, b.message(Handover, home, o.id))
		}
	}
	for id, h := range b.all {
		if h == b.self && !slices.ContainsFunc(next, func(o own) bool { return o.id == id }) {
			rest := b.set.HandoverTimeout
			if !slices.Contains(hosts, was[id]) {
				rest = b.set.LostHostDelay
			}
			next = append(next, b.gain(now, id, was[id], rest))
		}
	}
	slices.SortFunc(next, func(x, y own) int {
		return cmp.Or(cmp.Compare(x.id.Server, y.id.Server), cmp.Compare(x.id.Index, y.id.Index))
	})
	b.own = next
	b.listHomes()
	b.started = len(hosts) > 0
	b.refused = 0
	return out
}

// gain returns a slot that this host is the new home of. It rests, unless the
// slot is new or this host has just started.
func (b *Pool) gain(now time.Duration, id ID, former uint64, rest time.Duration) own {
	o := own{id: id, former: former}
	if b.started && former != 0 {
		o.usableAt = now + rest
	}
	if b.retired[id] > 0 {
		b.retired[id]--
		o.use = busy
	}
	return o
}

// listHomes notes the other hosts that are home to slots.
func (b *Pool) listHomes() {
	b.homes = b.homes[:0]
	for _, h := range b.all {
		if h != b.self && !slices.Contains(b.homes, h) {
			b.homes = append(b.homes, h)
		}
	}
	slices.Sort(b.homes)
}
