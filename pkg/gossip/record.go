package gossip

import "lagoonramp.org/lagoonramp/pkg/rendez"

// RecordsPerGroup is the number of hosts of a group whose addresses the store
// holds, so that a host that starts finds the group there. It learns of the others
// from these.
const RecordsPerGroup = 3

// recordKey is the rendezvous key that ranks hosts for records.
var recordKey = rendez.Hash("records")

// NeedsRecord reports whether the host self is to write its record to the store.
// Others holds the live hosts of its group, and recorded those whose records the
// store has. If there are too few records, the hosts with the highest rendezvous
// scores among those without one write theirs. Hosts that know different hosts may
// write more records than necessary.
//
// Load pattern: hundreds of hosts start at the same time. If each wrote its
// record, they would read each other's at every start.
func NeedsRecord(self uint64, others []uint64, recorded map[uint64]bool) bool {
	if recorded[self] {
		return false
	}
	missing := RecordsPerGroup
	higher := 0
	for _, h := range others {
		switch {
		case recorded[h]:
			missing--
		case rendez.Score(recordKey, h) > rendez.Score(recordKey, self):
			higher++
		}
	}
	return higher < missing
}
