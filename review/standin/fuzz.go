//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// fuzzDuration is how long malformed messages are sent.
const fuzzDuration = 40 * time.Second

// fragments are parts of messages that a host may not expect.
var fragments = []string{
	`null`, `-1`, `1e309`, `18446744073709551616`, `9223372036854775807`, `-9223372036854775808`, `""`, `"x"`, `[]`, `{}`, `[null]`, `true`, `0.5`,
	`"::1"`, `"[::1]:1"`, `"0.0.0.0:0"`, `"127.0.0.1:1"`, `{"key":"servers/i-1","deleted":true,"revision":999999999}`, `"\ud800"`,
}

// digestTemplate has a field for each value that a digest may have.
const digestTemplate = `{"from":%s,"dataCentre":%s,"address":%s,"revision":%s,"age":%s,"served":%s,"readyFor":%s,"askedFor":%s,"known":[{"address":%s,"dataCentre":%s,"age":%s}],` +
	`"round":{"origin":%s,"dataCentre":%s,"part":{"first":%s,"last":%s}},"since":%s,"items":[{"key":%s,"value":%s,"revision":%s}],"pins":[{"Key":{"Caller":%s,"Service":%s},"Mark":%s}]}`

// fuzzPorts sends malformed messages to all ports of two hosts, and reports how
// many of them ended.
func fuzzPorts(b *bed, trouble bool) (int, error) {
	if err := startHCMFA(b); err != nil {
		return 0, err
	}
	time.Sleep(time.Second)
	end := time.Now().Add(fuzzDuration)
	var group sync.WaitGroup
	if trouble {
		for _, h := range b.hosts[:2] {
			group.Go(func() { fuzzDatagrams(h, end) })
			group.Go(func() { fuzzPackets(h, end) })
			for _, offset := range []uint16{1, 2, 3} {
				group.Go(func() { fuzzHTTP(h.at(offset), end) })
			}
		}
	}
	group.Wait()
	time.Sleep(2 * time.Second)
	ended := 0
	for _, h := range b.hosts {
		select {
		case <-h.exited:
			ended++
		default:
		}
	}
	r, err := b.newRequester("sapporo", 1)
	if err != nil {
		return 0, err
	}
	defer r.close()
	stop := make(chan struct{})
	time.AfterFunc(3*time.Second, func() { close(stop) })
	b.pages(r, 40, stop)
	return ended, nil
}

// fuzzDatagrams sends digests in which some values are replaced or bytes are
// changed.
func fuzzDatagrams(h *host, end time.Time) {
	conn, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(h.at(2)))
	if err != nil {
		return
	}
	defer conn.Close()
	for time.Now().Before(end) {
		values := []any{`"peer"`, `"sapporo"`, fmt.Sprintf(`"127.%d.2.%d:%d"`, h.bed.network, 1+rand.IntN(9), h.bed.port+2), `1`, `0`, `true`, `1000`, `0`, `"127.0.0.1:9"`, `"yoichi"`, `5`,
			`"127.0.0.1:9"`, `"sapporo"`, `0`, `18446744073709551615`, `1`, `"servers/i-1"`, `"e30="`, `7`, `"127.0.0.1:1"`, `"198.18.0.1:8443"`, `7`}
		for range rand.IntN(3) {
			values[rand.IntN(len(values))] = fragments[rand.IntN(len(fragments))]
		}
		data := fmt.Appendf(nil, digestTemplate, values...)
		if rand.IntN(4) == 0 {
			data[rand.IntN(len(data))] = byte(rand.Uint32())
		}
		_, _ = conn.Write(data)
		time.Sleep(500 * time.Microsecond)
	}
}

// fuzzPackets sends packets with random headers, marks of servers among them.
func fuzzPackets(h *host, end time.Time) {
	conn, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(h.at(0)))
	if err != nil {
		return
	}
	defer conn.Close()
	for time.Now().Before(end) {
		p := packet{
			echo: rand.Uint32(), source: netip.AddrPortFrom(h.bed.ip(1, 200+rand.IntN(20)), uint16(rand.Uint32())), destination: pageRoute.address,
			sequence: rand.Uint32(), ack: rand.Uint32N(5), flags: []byte{4, 8, 32, 2, 10, 40, 12, byte(rand.Uint32())}[rand.IntN(8)], data: make([]byte, rand.IntN(3)*rand.IntN(700)),
		}
		data := p.encode()
		if rand.IntN(3) == 0 {
			data[rand.IntN(len(data))] = byte(rand.Uint32())
		}
		_, _ = conn.Write(data[:len(data)-rand.IntN(2)*rand.IntN(len(data))])
		time.Sleep(500 * time.Microsecond)
	}
}

// fuzzHTTP sends malformed requests.
func fuzzHTTP(to netip.AddrPort, end time.Time) {
	paths := []string{"/readiness", "/state", "/state?after=", "/state?after=-1", "/state?after=99999999999999999999", "/state?after=0", "/remnants", "/remnants?dataCentre=sapporo", "/remnants?dataCentre=%ff", "/status", "/events", "/events?since=x&kind=%00&host=%zz", "/metrics", "/", "/api/status", "//", "/%2e%2e"}
	methods := []string{"GET", "POST", "HEAD", "PUT", "DELETE", "X", ""}
	for time.Now().Before(end) {
		conn, err := net.DialTimeout("tcp4", to.String(), time.Second)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(300 * time.Millisecond))
		request := methods[rand.IntN(len(methods))] + " " + paths[rand.IntN(len(paths))] + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
		switch rand.IntN(5) {
		case 0:
			request += "Content-Length: -5\r\n"
		case 1:
			request += "Content-Length: 99999999999\r\n"
		case 2:
			request += "X: " + strings.Repeat("a", rand.IntN(70_000)) + "\r\n"
		case 3:
			request = request[:rand.IntN(len(request))]
		}
		_, _ = conn.Write([]byte(request + "\r\n{"))
		_, _ = conn.Read(make([]byte, 4096))
		_ = conn.Close()
	}
}
