package httplb

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"lagoonramp.org/lagoonramp/pkg/once"
	"lagoonramp.org/lagoonramp/pkg/rendez"
)

// reservation is the request of a host to reserve a key, sent before it runs the
// key's request, or to release it.
type reservation struct {
	Key         string `json:"key"`
	Fingerprint uint64 `json:"print"`
	Host        uint64 `json:"host"`
	AttemptID   uint64 `json:"run"`
}

// reserveReply is the reply to a reservation.
type reserveReply struct {
	// OK reports whether the key was recorded for the reservation.
	OK bool `json:"ok"`
	// Exists reports whether there was already a record of the key. Host is the
	// host that runs or ran the request according to that record.
	Exists bool   `json:"known"`
	Host   uint64 `json:"host"`
	// RecordsLost reports whether the replying host restarted within the
	// retention window of the keys and may lack records.
	RecordsLost bool `json:"forgot"`
}

// reserveResult combines the replies to a reservation.
type reserveResult struct {
	// confirmed lists the hosts that recorded the key. intact is the number of
	// them that have lost no records.
	confirmed []uint64
	intact    int
	// existingHost is the host that runs or ran the request according to an
	// existing record, or 0 if no host has one.
	existingHost uint64
}

// reserve reserves a key at the given hosts and waits for their replies, at most
// for reserveTimeout.
func (d *Deduplicator) reserve(ctx context.Context, hosts []uint64, res reservation) reserveResult {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reserveTimeout)
	defer cancel()
	replies := make([]reserveReply, len(hosts))
	var wg sync.WaitGroup
	for i, h := range hosts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_ = d.callHost(ctx, h, ReservePath, res, &replies[i])
		}()
	}
	wg.Wait()
	var result reserveResult
	for i, reply := range replies {
		if reply.Exists {
			result.existingHost = reply.Host
		}
		if !reply.OK {
			continue
		}
		result.confirmed = append(result.confirmed, hosts[i])
		if !reply.RecordsLost {
			result.intact++
		}
	}
	return result
}

// release removes the record of a key whose request did not run, at this host
// and at those that confirmed the reservation.
func (d *Deduplicator) release(res reservation, hosts []uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
	defer cancel()
	for _, h := range hosts {
		_ = d.callHost(ctx, h, ReleasePath, res, &struct{}{})
	}
	d.mu.Lock()
	d.ledger.Release(res.Key, res.Host, res.AttemptID)
	d.mu.Unlock()
}

// callHost posts in as JSON to another host and decodes the reply into out.
func (d *Deduplicator) callHost(ctx context.Context, host uint64, path string, in, out any) error {
	addr, ok := d.cluster.Address(host)
	if !ok {
		return eris.Errorf("call %s: unknown host", path)
	}
	body, err := json.Marshal(in)
	if err != nil {
		return eris.Wrapf(err, "encode the body for %s", path)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrapf(err, "call %s at %s", path, addr)
	}
	d.cluster.Sign(req)
	resp, err := d.client.Do(req)
	if err != nil {
		return eris.Wrapf(err, "call %s at %s", path, addr)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("call %s at %s: status %d", path, addr, resp.StatusCode)
	}
	return eris.Wrapf(json.NewDecoder(io.LimitReader(resp.Body, maxBufferedBody)).Decode(out), "call %s at %s", path, addr)
}

// ServeReserve reserves a key for another host.
func (d *Deduplicator) ServeReserve(w http.ResponseWriter, r *http.Request) {
	var in reservation
	if !decodeCall(w, r, &in) {
		return
	}
	d.mu.Lock()
	existing, ok := d.ledger.Reserve(d.now(), in.Key, in.Fingerprint, in.Host, in.AttemptID)
	reply := reserveReply{OK: ok && existing == nil, Exists: existing != nil, RecordsLost: d.cluster.RecordsLost()}
	if existing != nil {
		reply.Host = existing.Host
	}
	d.mu.Unlock()
	writeReply(w, reply)
}

// ServeRelease removes the reservation of another host whose request did not
// run.
func (d *Deduplicator) ServeRelease(w http.ResponseWriter, r *http.Request) {
	var in reservation
	if !decodeCall(w, r, &in) {
		return
	}
	d.mu.Lock()
	d.ledger.Release(in.Key, in.Host, in.AttemptID)
	d.mu.Unlock()
	writeReply(w, struct{}{})
}

// decodeCall decodes the JSON body of another host's call into v. If that fails,
// it answers the call and returns false.
func decodeCall(w http.ResponseWriter, r *http.Request, v any) bool {
	const maxBytes = 4 << 20
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBytes)).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// writeReply answers another host's call with v as JSON.
func writeReply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// handover is a batch of records that a leaving host sends to a replica of their
// keys.
type handover struct {
	Records []handoverRecord `json:"records"`
}

type handoverRecord struct {
	Key    string       `json:"key"`
	Record once.Record  `json:"record"`
	Answer *once.Answer `json:"answer,omitempty"`
}

// HandOverRecords sends the records of this leaving host to the hosts that are
// the replicas of their keys after it has left. It returns an error if a host
// did not accept the records sent to it.
func (d *Deduplicator) HandOverRecords(ctx context.Context) error {
	const maxBatch = 200
	byHost := map[uint64][]handoverRecord{}
	peers := slices.DeleteFunc(d.cluster.Peers(d.epoch), func(p once.Peer) bool { return p.ID == d.cluster.Self() })
	d.mu.Lock()
	d.ledger.Each(func(key string, r *once.Record) {
		plan := once.MakePlan(d.now(), rendez.Hash(key), d.cluster.Self(), peers, d.Window())
		for _, host := range plan.Replicas {
			byHost[host] = append(byHost[host], handoverRecord{Key: key, Record: r.Export(), Answer: r.Answer})
		}
	})
	d.mu.Unlock()
	for host, records := range byHost {
		for len(records) > 0 {
			n := min(maxBatch, len(records))
			if err := d.callHost(ctx, host, HandoverPath, handover{Records: records[:n]}, &struct{}{}); err != nil {
				return err
			}
			records = records[n:]
		}
	}
	return nil
}

// ServeHandover imports the records of a leaving host.
func (d *Deduplicator) ServeHandover(w http.ResponseWriter, r *http.Request) {
	var in handover
	if !decodeCall(w, r, &in) {
		return
	}
	d.mu.Lock()
	for _, x := range in.Records {
		d.ledger.Import(d.now(), x.Key, x.Record, x.Answer)
	}
	d.mu.Unlock()
	writeReply(w, struct{}{})
}
