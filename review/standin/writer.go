//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

// leavingServers is the number of servers that drain, of 14.
const leavingServers = 1

// foreignEntry returns an entry of another writer about a server. The fields that
// the protocol requires are missing: these are spelled otherwise.
func foreignEntry(s *server, born int64) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","concurrency":%d,"state":"ready","warmupLeftMs":0,"sequence":1,"born":%d}`,
		s.service, s.address, s.zone, s.slots, born)
}

// otherWriter drains servers of which another writer has entries, too.
func otherWriter(b *bed, trouble bool) (int, error) {
	if err := startHCMFA(b); err != nil {
		return 0, err
	}
	r, err := b.newRequester("sapporo", 1)
	if err != nil {
		return 0, err
	}
	defer r.close()
	var leaving []*server
	for _, s := range b.servers {
		if len(leaving) < leavingServers {
			leaving = append(leaving, s)
		}
	}
	if trouble {
		for _, s := range leaving {
			key := "servers/agent-" + s.id[len("i-"):]
			b.store.Put(key, foreignEntry(s, time.Now().UnixMilli()))
			b.record.line("disruption: another writer wrote %s, without the fields of the protocol", key)
		}
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { b.pages(r, 60, stop) })
	// All hosts and servers have been running for longer than StabilityMs.
	time.Sleep(6 * time.Second)
	for _, s := range leaving {
		b.drain(s)
	}
	time.Sleep(12 * time.Second)
	close(stop)
	group.Wait()
	late := 0
	for _, s := range leaving {
		s.mu.Lock()
		late += s.lateOpenings
		s.mu.Unlock()
	}
	b.record.line("flows that draining servers took after the bound: %d", late)
	return late, nil
}
