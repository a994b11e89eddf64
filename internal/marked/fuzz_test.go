package marked

import (
	"encoding/json"
	"testing"
	"time"
)

// FuzzHandleDigest checks that no datagram on the port of peers ends the process:
// the control loop handles whatever can be decoded.
func FuzzHandleDigest(f *testing.F) {
	f.Add([]byte(`{}`))
	f.Add([]byte(`{"from":"h1","dataCentre":"a","address":"127.0.9.1:9","revision":7,"age":-5,"served":true,"known":[{"address":"127.0.9.7:9","age":-9223372036854775808}]}`))
	f.Add([]byte(`{"from":"h2","dataCentre":"zz","address":"127.0.9.2:9","revision":0,"round":{"origin":"127.0.9.3:9","dataCentre":"zz","part":{"First":9,"Last":1}}}`))
	f.Add([]byte(`{"from":"h3","dataCentre":"a","address":"127.0.9.3:9","revision":9,"since":3,"items":[{"key":"servers/i-0","value":"e30=","revision":9}],"readyFor":-1,"askedFor":9223372036854775807}`))
	f.Add([]byte(`{"from":"h4","dataCentre":"a","address":"127.0.9.4:9","pins":[{"Key":{"Caller":"1.2.3.4:5","Service":"6.7.8.9:1"},"Mark":3}]}`))
	f.Add([]byte(`{"address":"[::1]:9","known":[{"address":":0"},{"address":"0.0.0.0:0"}],"round":{"origin":"x"}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var d digest
		if json.Unmarshal(data, &d) != nil {
			return
		}
		p, c := newTestPeers(t, 2)
		p.handleDigest(time.Second, &d, c)
		p.forwardPendingBroadcasts(time.Second, c)
		p.sendDigests(2*time.Second, c)
		p.removeExpired(time.Hour)
	})
}
