package host

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/internal/fakes"
	"lagoonramp.org/lagoonramp/internal/peer"
	"lagoonramp.org/lagoonramp/internal/setup"
	"lagoonramp.org/lagoonramp/internal/wire"
	"lagoonramp.org/lagoonramp/pkg/conf"
)

const secret = "00112233445566778899aabbccddeeff"

// addressCount counts the addresses that freeAddress returned.
var addressCount atomic.Uint32

// freeAddress returns an address with an IP address of its own, so that no outgoing
// connection occupies its port.
func freeAddress(t *testing.T) string {
	t.Helper()
	n := addressCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:7000", 201+os.Getpid()%50, n>>8&0xff, n&0xff)
}

func tokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// startHost runs a host with p as its platform. configure may modify its settings.
func startHost(t *testing.T, name string, p *fakes.Platform, configure func(s *setup.Settings)) *Host {
	t.Helper()
	platform := httptest.NewServer(p)
	s := &setup.Settings{Name: name, DataCentre: "sapporo", Peer: freeAddress(t), Admin: freeAddress(t),
		Ingress: setup.Ingress{TCP: freeAddress(t)}, Platform: platform.URL, Keys: []setup.Key{{ID: 1, Secret: secret}},
		Tokens: map[string]string{"entry": tokenHash("entry-token"), "press": tokenHash("press-token"), "*": tokenHash("admin-token")}}
	if configure != nil {
		configure(s)
	}
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	h, err := New(s, nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = h.Run(context.Background(), ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		platform.CloseClientConnections()
		platform.Close()
	})
	return h
}

// putSection sends an edit with a token and returns the status code and the response.
func putSection(t *testing.T, h *Host, team, token string, in any) (int, wire.PutResponse) {
	t.Helper()
	body, err := json.Marshal(in)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequest("PUT", "http://"+h.settings.Admin+"/api/config/"+team, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var out wire.PutResponse
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, out
}

// eventually waits until ok returns true and fails the test after 30 s.
func eventually(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal("condition not met within 30 s: " + condition)
}

func entrySection(address string) conf.Section {
	return conf.Section{Services: []conf.Service{{Name: "entry-desk", Address: "127.0.0.1:1", Protocol: conf.HTTP,
		Servers: []conf.Server{{Name: "s1", Address: address, DataCentre: "sapporo", Slots: 3, Connections: 10, State: conf.Active}}}}}
}

func TestTeamWritesOnlyItsOwnSection(t *testing.T) {
	h := startHost(t, "h1", fakes.NewPlatform(), nil)
	edit := wire.PutRequest{Section: entrySection("127.0.0.1:2"), ID: "1", Who: "ops"}
	cases := []struct {
		name, team, token string
		status            int
	}{
		{"no token", "entry", "", 403},
		{"a wrong token", "entry", "guess", 403},
		{"another team's token", "entry", "press-token", 403},
		{"its own token", "entry", "entry-token", 200},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			status, response := putSection(t, h, c.team, c.token, edit)
			is.Equal(status, c.status)
			if status == 403 {
				is.Equal(response.Kind, "denied")
				is.True(strings.Contains(response.Error, "entry"))
			}
		})
	}
}

func TestRefusedEditsChangeNothing(t *testing.T) {
	is := is.New(t)
	h := startHost(t, "h1", fakes.NewPlatform(), nil)
	status, _ := putSection(t, h, "entry", "entry-token", wire.PutRequest{Section: entrySection("127.0.0.1:2"), ID: "1", Who: "a"})
	is.Equal(status, 200)
	status, response := putSection(t, h, "entry", "entry-token", wire.PutRequest{Section: entrySection("127.0.0.1:3"), ID: "2", Who: "b"})
	is.Equal(status, 409)
	is.Equal(response.Kind, "conflict")
	is.Equal(response.LastEditor, "a")
	bad := entrySection("127.0.0.1:3")
	bad.Services[0].Servers[0].Slots = 0
	status, response = putSection(t, h, "entry", "entry-token", wire.PutRequest{Section: bad, Base: 1, ID: "3"})
	is.Equal(status, 422)
	is.Equal(response.Faults[0].Field, "teams.entry.services[0].servers[0].slots")
	status, _ = putSection(t, h, "entry", "entry-token", map[string]any{"sektion": 1})
	is.Equal(status, 400)
	eventually(t, "revision 1 is in force", func() bool { return h.Status().Revision == 1 })
}

func TestPeerRequestsRequireValidTag(t *testing.T) {
	h := startHost(t, "h1", fakes.NewPlatform(), nil)
	for _, path := range []string{"/peer/conf", "/peer/status", "/peer/events", "/peer/once/reserve", "/peer/run/entry-desk"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			req, err := http.NewRequest("POST", "http://"+h.settings.Peer+path, strings.NewReader("{}"))
			is.NoErr(err)
			peer.SignRequest(req, peer.Key{ID: 1, Secret: []byte("guess")}, time.Now())
			resp, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			defer resp.Body.Close()
			is.Equal(resp.StatusCode, 403)
		})
	}
}

func TestAdminAnswersContainNoSecrets(t *testing.T) {
	h := startHost(t, "h1", fakes.NewPlatform(), nil)
	for _, path := range []string{"/api/status", "/api/config", "/api/events", "/metrics", "/readyz"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			resp, err := http.Get("http://" + h.settings.Admin + path)
			is.NoErr(err)
			defer resp.Body.Close()
			var b bytes.Buffer
			_, err = b.ReadFrom(resp.Body)
			is.NoErr(err)
			is.True(!strings.Contains(b.String(), secret))
			is.True(!strings.Contains(b.String(), tokenHash("entry-token")))
		})
	}
}

func TestHostJoinsFromPeersWhilePlatformDown(t *testing.T) {
	is := is.New(t)
	p := fakes.NewPlatform()
	a := startHost(t, "a", p, nil)
	status, _ := putSection(t, a, "entry", "entry-token", wire.PutRequest{Section: entrySection("127.0.0.1:2"), ID: "1"})
	is.Equal(status, 200)
	eventually(t, "revision 1 is in force", func() bool { return a.Status().Revision == 1 })
	down := fakes.NewPlatform()
	down.SetFaults(fakes.PlatformFaults{Down: true})
	b := startHost(t, "b", down, func(s *setup.Settings) {
		s.Peers = []setup.Peer{{Name: "a", DataCentre: "sapporo", Address: a.settings.Peer}}
	})
	eventually(t, "the new host has revision 1", func() bool { return b.Status().Revision == 1 })
	eventually(t, "both hosts are active", func() bool { return a.ActiveHosts() == 2 && b.ActiveHosts() == 2 })
	is.True(b.RecordsLost()) // Without the platform a restart cannot be ruled out.
}

func TestNewHostIsNotActive(t *testing.T) {
	is := is.New(t)
	p := fakes.NewPlatform()
	a := startHost(t, "a", p, nil)
	eventually(t, "the first host is active", func() bool { return a.ActiveHosts() == 1 })
	b, err := New(&setup.Settings{Name: "b", DataCentre: "sapporo", Peer: freeAddress(t), Admin: freeAddress(t),
		Ingress: setup.Ingress{TCP: freeAddress(t)}, Platform: "http://127.0.0.1:1", Keys: a.settings.Keys,
		Peers: []setup.Peer{{Name: "a", DataCentre: "sapporo", Address: a.settings.Peer}}}, nil)
	is.NoErr(err)
	defer b.closeSockets()
	is.Equal(b.ActiveHosts(), 0) // It does not assume that it is the only host.
}

func TestPlatformRollbackRaisesAlarm(t *testing.T) {
	is := is.New(t)
	p := fakes.NewPlatform()
	h := startHost(t, "h1", p, nil)
	putSection(t, h, "entry", "entry-token", wire.PutRequest{Section: entrySection("127.0.0.1:2"), ID: "1"})
	restore := p.Snapshot()
	putSection(t, h, "entry", "entry-token", wire.PutRequest{Section: entrySection("127.0.0.1:3"), Base: 1, ID: "2"})
	eventually(t, "revision 2 is in force", func() bool { return h.Status().Revision == 2 })
	restore()
	eventually(t, "the rollback alarm is set", func() bool { return h.Status().Alarm == string(conf.AlarmRollback) })
	is.Equal(h.Status().Revision, uint64(2))
	status, response := putSection(t, h, "entry", "entry-token", wire.PutRequest{Section: entrySection("127.0.0.1:4"), Base: 2, ID: "3"})
	is.Equal(status, 409)
	is.Equal(response.Kind, "behind")
	body, err := json.Marshal(wire.PutRequest{ID: "back"})
	is.NoErr(err)
	republish := func(token string) int {
		req, err := http.NewRequest("POST", "http://"+h.settings.Admin+"/api/republish", bytes.NewReader(body))
		is.NoErr(err)
		req.Header.Set("Authorization", "Bearer "+token)
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		defer resp.Body.Close()
		return resp.StatusCode
	}
	is.Equal(republish("entry-token"), 403) // The token of a single team is not sufficient.
	is.Equal(republish("admin-token"), 200)
	eventually(t, "the alarm is cleared", func() bool { return h.Status().Alarm == "" && h.Status().Revision == 3 })
}

func TestMovedAddressIsQuarantined(t *testing.T) {
	is := is.New(t)
	h := startHost(t, "h1", fakes.NewPlatform(), nil)
	putSection(t, h, "entry", "entry-token", wire.PutRequest{Section: entrySection("127.0.0.1:2"), ID: "1"})
	putSection(t, h, "entry", "entry-token", wire.PutRequest{Section: conf.Section{}, Base: 1, ID: "2"})
	moved := entrySection("127.0.0.1:2")
	moved.Services[0].Name = "catalogue-press"
	putSection(t, h, "press", "press-token", wire.PutRequest{Section: moved, ID: "3"})
	eventually(t, "revision 3 is in force", func() bool { return h.Status().Revision == 3 })
	is.True(h.Status().Services[0].Servers[0].Quarantined)
}

// TestStartedKeyIsWrittenAfterOutage guards against a restart that is not
// recognised, after which a keyed request could run twice: a host that started
// while the platform was down must write its key once the platform is back.
func TestStartedKeyIsWrittenAfterOutage(t *testing.T) {
	is := is.New(t)
	p := fakes.NewPlatform()
	p.SetFaults(fakes.PlatformFaults{Down: true})
	h := startHost(t, "h1", p, nil)
	eventually(t, "the platform is called", func() bool { return p.CallCount() > 0 })
	time.Sleep(200 * time.Millisecond)
	p.SetFaults(fakes.PlatformFaults{})
	eventually(t, "the key is written", func() bool {
		v, err := h.store.Get(context.Background(), startedKeyPrefix+"h1")
		return err == nil && v.Version > 0
	})
	is.True(h.recordsLost.Load()) // A former process may have run requests.
}
