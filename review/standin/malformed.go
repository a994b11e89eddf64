//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"lagoonramp.org/lagoonramp/pkg/mark"
)

// malformedPeer lets a peer answer a query of a host with a departed server that
// lacks its address.
func malformedPeer(b *bed, trouble bool) (int, error) {
	peer := netip.AddrPortFrom(b.ip(2, 3), b.port+2)
	id := "i-7f3a91c2"
	departed := `{"id":"` + id + `","token":2134544834,"service":"entry-desk","dataCentre":"yoichi","slots":3,"state":0}`
	if !trouble {
		departed = `{"id":"` + id + `","token":2134544834,"service":"entry-desk","address":"127.0.0.1:9","dataCentre":"yoichi","slots":3,"state":0}`
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/remnants", func(w http.ResponseWriter, _ *http.Request) {
		b.record.line("peer: queried for retained state")
		fmt.Fprintf(w, `{"upFor":120000000000,"remnants":{"servers":[{"server":%s,"ago":1000000000}]}}`, departed)
	})
	l, err := net.Listen("tcp4", peer.String())
	if err != nil {
		return 0, err
	}
	defer l.Close()
	go func() { _ = http.Serve(l, mux) }()
	u, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(peer))
	if err != nil {
		return 0, err
	}
	defer u.Close()
	b.putConfig(pageRoute, submitRoute)
	if err := b.addServers(2, "entry-desk", "sapporo", 3); err != nil {
		return 0, err
	}
	if err := b.addHosts(1, "sapporo"); err != nil {
		return 0, err
	}
	d, _ := json.Marshal(map[string]any{"from": "peer", "dataCentre": "sapporo", "address": peer.String(), "revision": 0, "age": 0})
	_, _ = u.WriteToUDPAddrPort(d, b.hosts[0].at(2))
	if err := b.waitReady(); err != nil {
		return 0, err
	}
	time.Sleep(1500 * time.Millisecond)
	r, err := b.newRequester("sapporo", 1)
	if err != nil {
		return 0, err
	}
	defer r.close()
	f := r.newFlow("f", pageRoute.address)
	f.echo = mark.Of(id)
	f.send(flagACK, 5, 5, []byte("x"))
	select {
	case <-b.hosts[0].exited:
		return 1, nil
	case <-time.After(2 * time.Second):
		return 0, nil
	}
}
