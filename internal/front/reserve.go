package front

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

// reservation is what a host says when it is about to run a key.
type reservation struct {
	Key   string `json:"key"`
	Print uint64 `json:"print"`
	Host  uint64 `json:"host"`
	Run   uint64 `json:"run"`
}

// reserved is the answer to a reservation.
type reserved struct {
	OK bool `json:"ok"`
	// Known tells that the key is known already, by the named host.
	Known bool   `json:"known"`
	Host  uint64 `json:"host"`
	// Forgot tells that the answering host was restarted not long ago.
	Forgot bool `json:"forgot"`
}

// reservations is what hosts answered to a reservation.
type reservations struct {
	// confirmed are the hosts that recorded the key, clean is how many of them
	// have forgotten nothing.
	confirmed []uint64
	clean     int
	// known is the host that runs the key, if one of them knows it.
	known uint64
}

// reserve asks hosts to reserve a key.
func (o *Deduplicator) reserve(ctx context.Context, hosts []uint64, res reservation) reservations {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reserveTimeout)
	defer cancel()
	answers := make([]reserved, len(hosts))
	var group sync.WaitGroup
	for i, h := range hosts {
		group.Add(1)
		go func() {
			defer group.Done()
			_ = o.call(ctx, h, ReservePath, res, &answers[i])
		}()
	}
	group.Wait()
	var out reservations
	for i, a := range answers {
		if a.Known {
			out.known = a.Host
		}
		if !a.OK {
			continue
		}
		out.confirmed = append(out.confirmed, hosts[i])
		if !a.Forgot {
			out.clean++
		}
	}
	return out
}

// release takes a key back, here and where it was reserved.
func (o *Deduplicator) release(res reservation, hosts []uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
	defer cancel()
	for _, h := range hosts {
		_ = o.call(ctx, h, ReleasePath, res, &struct{}{})
	}
	o.mu.Lock()
	o.ledger.Release(res.Key, res.Host, res.Run)
	o.mu.Unlock()
}

// call makes a small HTTP call to another host.
func (o *Deduplicator) call(ctx context.Context, host uint64, path string, in, out any) error {
	addr, ok := o.cluster.Address(host)
	if !ok {
		return eris.Errorf("call %s: the host is not known", path)
	}
	body, err := json.Marshal(in)
	if err != nil {
		return eris.Wrapf(err, "encode the call %s", path)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrapf(err, "call %s at %s", path, addr)
	}
	o.cluster.Sign(req)
	resp, err := o.client.Do(req)
	if err != nil {
		return eris.Wrapf(err, "call %s at %s", path, addr)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("call %s at %s: status %d", path, addr, resp.StatusCode)
	}
	return eris.Wrapf(json.NewDecoder(io.LimitReader(resp.Body, replayBody)).Decode(out), "call %s at %s", path, addr)
}

// ServeReserve handles another host's reservation.
func (o *Deduplicator) ServeReserve(w http.ResponseWriter, r *http.Request) {
	var in reservation
	if !decodeCall(w, r, &in) {
		return
	}
	o.mu.Lock()
	known, ok := o.ledger.Reserve(o.now(), in.Key, in.Print, in.Host, in.Run)
	out := reserved{OK: ok && known == nil, Known: known != nil, Forgot: o.cluster.RecordsLost()}
	if known != nil {
		out.Host = known.Host
	}
	o.mu.Unlock()
	answerCall(w, out)
}

// ServeRelease handles the end of another host's reservation.
func (o *Deduplicator) ServeRelease(w http.ResponseWriter, r *http.Request) {
	var in reservation
	if !decodeCall(w, r, &in) {
		return
	}
	o.mu.Lock()
	o.ledger.Release(in.Key, in.Host, in.Run)
	o.mu.Unlock()
	answerCall(w, struct{}{})
}

func decodeCall(w http.ResponseWriter, r *http.Request, v any) bool {
	const most = 4 << 20
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, most)).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func answerCall(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// handover is what a leaving host gives to the next owners of its keys.
type handover struct {
	Records []handoverRecord `json:"records"`
}

type handoverRecord struct {
	Key    string       `json:"key"`
	Record once.Record  `json:"record"`
	Answer *once.Answer `json:"answer,omitempty"`
}

// Handover gives the records of a leaving host to the hosts that form the
// keys' groups without it. It returns an error if one of them did not take its
// part.
func (o *Deduplicator) HandOverRecords(ctx context.Context) error {
	const batch = 200
	parts := map[uint64][]handoverRecord{}
	peers := slices.DeleteFunc(o.cluster.Peers(o.epoch), func(p once.Peer) bool { return p.ID == o.cluster.Self() })
	o.mu.Lock()
	o.ledger.Each(func(key string, r *once.Record) {
		plan := once.MakePlan(o.now(), rendez.Hash(key), o.cluster.Self(), peers, o.Window())
		for _, host := range plan.Replicas {
			parts[host] = append(parts[host], handoverRecord{Key: key, Record: r.Export(), Answer: r.Answer})
		}
	})
	o.mu.Unlock()
	for host, records := range parts {
		for len(records) > 0 {
			n := min(batch, len(records))
			if err := o.call(ctx, host, HandoverPath, handover{Records: records[:n]}, &struct{}{}); err != nil {
				return err
			}
			records = records[n:]
		}
	}
	return nil
}

// ServeHandover takes the records of a leaving host.
func (o *Deduplicator) ServeHandover(w http.ResponseWriter, r *http.Request) {
	var in handover
	if !decodeCall(w, r, &in) {
		return
	}
	o.mu.Lock()
	for _, x := range in.Records {
		o.ledger.Import(o.now(), x.Key, x.Record, x.Answer)
	}
	o.mu.Unlock()
	answerCall(w, struct{}{})
}
