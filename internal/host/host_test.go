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

// addresses counts the addresses that tests took.
var addresses atomic.Uint32

// free returns an address on an IP number of its own, which outgoing
// connections do not use.
func free(t *testing.T) string {
	t.Helper()
	n := addresses.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:7000", 201+os.Getpid()%50, n>>8&0xff, n&0xff)
}

func hashOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// start runs a host before a platform.
func start(t *testing.T, name string, p *fakes.Platform, change func(s *setup.Settings)) *Host {
	t.Helper()
	platform := httptest.NewServer(p)
	s := &setup.Settings{Name: name, DataCentre: "sapporo", Peer: free(t), Admin: free(t),
		Ingress: setup.Ingress{TCP: free(t)}, Platform: platform.URL, Keys: []setup.Key{{ID: 1, Secret: secret}},
		Tokens: map[string]string{"entry": hashOf("entry-token"), "press": hashOf("press-token"), "*": hashOf("admin-token")}}
	if change != nil {
		change(s)
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

// put makes an edit with a token and returns the status and the answer.
func put(t *testing.T, h *Host, team, token string, in any) (int, wire.PutResponse) {
	t.Helper()
	body, err := json.Marshal(in)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequest("PUT", "http://"+h.set.Admin+"/api/config/"+team, bytes.NewReader(body))
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

// eventually waits for a condition of a running host.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal("it did not come true: " + what)
}

func entrySection(address string) conf.Section {
	return conf.Section{Services: []conf.Service{{Name: "entry-desk", Address: "127.0.0.1:1", Protocol: conf.HTTP,
		Servers: []conf.Server{{Name: "s1", Address: address, DataCentre: "sapporo", Slots: 3, Connections: 10, State: conf.Active}}}}}
}

func TestTeamWritesOnlyItsOwnSection(t *testing.T) {
	h := start(t, "h1", fakes.NewPlatform(), nil)
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
			status, answer := put(t, h, c.team, c.token, edit)
			is.Equal(status, c.status)
			if status == 403 {
				is.Equal(answer.Kind, "denied")
				is.True(strings.Contains(answer.Error, "entry"))
			}
		})
	}
}

func TestEditsThatAreRefusedChangeNothing(t *testing.T) {
	is := is.New(t)
	h := start(t, "h1", fakes.NewPlatform(), nil)
	status, _ := put(t, h, "entry", "entry-token", wire.PutRequest{Section: entrySection("127.0.0.1:2"), ID: "1", Who: "a"})
	is.Equal(status, 200)
	status, answer := put(t, h, "entry", "entry-token", wire.PutRequest{Section: entrySection("127.0.0.1:3"), ID: "2", Who: "b"})
	is.Equal(status, 409)
	is.Equal(answer.Kind, "conflict")
	is.Equal(answer.LastEditor, "a")
	bad := entrySection("127.0.0.1:3")
	bad.Services[0].Servers[0].Slots = 0
	status, answer = put(t, h, "entry", "entry-token", wire.PutRequest{Section: bad, Base: 1, ID: "3"})
	is.Equal(status, 422)
	is.Equal(answer.Faults[0].Field, "teams.entry.services[0].servers[0].slots")
	status, _ = put(t, h, "entry", "entry-token", map[string]any{"sektion": 1})
	is.Equal(status, 400)
	eventually(t, "revision 1 is in force", func() bool { return h.Status().Revision == 1 })
}

func TestPeerRequestsNeedATag(t *testing.T) {
	h := start(t, "h1", fakes.NewPlatform(), nil)
	for _, path := range []string{"/peer/conf", "/peer/status", "/peer/events", "/peer/once/reserve", "/peer/run/entry-desk"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			req, err := http.NewRequest("POST", "http://"+h.set.Peer+path, strings.NewReader("{}"))
			is.NoErr(err)
			peer.SignRequest(req, peer.Key{ID: 1, Secret: []byte("guess")}, time.Now())
			resp, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			defer resp.Body.Close()
			is.Equal(resp.StatusCode, 403)
		})
	}
}

func TestNothingSecretIsShown(t *testing.T) {
	h := start(t, "h1", fakes.NewPlatform(), nil)
	for _, path := range []string{"/api/status", "/api/config", "/api/events", "/metrics", "/readyz"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			resp, err := http.Get("http://" + h.set.Admin + path)
			is.NoErr(err)
			defer resp.Body.Close()
			var b bytes.Buffer
			_, err = b.ReadFrom(resp.Body)
			is.NoErr(err)
			is.True(!strings.Contains(b.String(), secret))
			is.True(!strings.Contains(b.String(), hashOf("entry-token")))
		})
	}
}

func TestHostsStartFromPeersWhileThePlatformIsDown(t *testing.T) {
	is := is.New(t)
	p := fakes.NewPlatform()
	a := start(t, "a", p, nil)
	status, _ := put(t, a, "entry", "entry-token", wire.PutRequest{Section: entrySection("127.0.0.1:2"), ID: "1"})
	is.Equal(status, 200)
	eventually(t, "revision 1 is in force", func() bool { return a.Status().Revision == 1 })
	down := fakes.NewPlatform()
	down.SetFaults(fakes.PlatformFaults{Down: true})
	b := start(t, "b", down, func(s *setup.Settings) {
		s.Peers = []setup.Peer{{Name: "a", DataCentre: "sapporo", Address: a.set.Peer}}
	})
	eventually(t, "the fresh host has revision 1", func() bool { return b.Status().Revision == 1 })
	eventually(t, "both own flows", func() bool { return a.ActiveHosts() == 2 && b.ActiveHosts() == 2 })
	is.True(b.RecordsLost()) // It cannot know whether it was restarted.
}

func TestHostOwnsNothingBeforeItKnowsTheOthers(t *testing.T) {
	is := is.New(t)
	p := fakes.NewPlatform()
	a := start(t, "a", p, nil)
	eventually(t, "the first host is active", func() bool { return a.ActiveHosts() == 1 })
	b, err := New(&setup.Settings{Name: "b", DataCentre: "sapporo", Peer: free(t), Admin: free(t),
		Ingress: setup.Ingress{TCP: free(t)}, Platform: "http://127.0.0.1:1", Keys: a.set.Keys,
		Peers: []setup.Peer{{Name: "a", DataCentre: "sapporo", Address: a.set.Peer}}}, nil)
	is.NoErr(err)
	defer b.closeSockets()
	is.Equal(b.ActiveHosts(), 0) // It does not take itself for the only host.
}

func TestPlatformThatWentBackRaisesAnAlarm(t *testing.T) {
	is := is.New(t)
	p := fakes.NewPlatform()
	h := start(t, "h1", p, nil)
	put(t, h, "entry", "entry-token", wire.PutRequest{Section: entrySection("127.0.0.1:2"), ID: "1"})
	restore := p.Snapshot()
	put(t, h, "entry", "entry-token", wire.PutRequest{Section: entrySection("127.0.0.1:3"), Base: 1, ID: "2"})
	eventually(t, "revision 2 is in force", func() bool { return h.Status().Revision == 2 })
	restore()
	eventually(t, "there is an alarm", func() bool { return h.Status().Alarm == string(conf.AlarmRollback) })
	is.Equal(h.Status().Revision, uint64(2))
	status, answer := put(t, h, "entry", "entry-token", wire.PutRequest{Section: entrySection("127.0.0.1:4"), Base: 2, ID: "3"})
	is.Equal(status, 409)
	is.Equal(answer.Kind, "behind")
	body, err := json.Marshal(wire.PutRequest{ID: "back"})
	is.NoErr(err)
	republish := func(token string) int {
		req, err := http.NewRequest("POST", "http://"+h.set.Admin+"/api/republish", bytes.NewReader(body))
		is.NoErr(err)
		req.Header.Set("Authorization", "Bearer "+token)
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		defer resp.Body.Close()
		return resp.StatusCode
	}
	is.Equal(republish("entry-token"), 403) // One team may not do it.
	is.Equal(republish("admin-token"), 200)
	eventually(t, "the alarm is over", func() bool { return h.Status().Alarm == "" && h.Status().Revision == 3 })
}

func TestAddressThatMovesIsQuarantined(t *testing.T) {
	is := is.New(t)
	h := start(t, "h1", fakes.NewPlatform(), nil)
	put(t, h, "entry", "entry-token", wire.PutRequest{Section: entrySection("127.0.0.1:2"), ID: "1"})
	put(t, h, "entry", "entry-token", wire.PutRequest{Section: conf.Section{}, Base: 1, ID: "2"})
	moved := entrySection("127.0.0.1:2")
	moved.Services[0].Name = "catalogue-press"
	put(t, h, "press", "press-token", wire.PutRequest{Section: moved, ID: "3"})
	eventually(t, "revision 3 is in force", func() bool { return h.Status().Revision == 3 })
	is.True(h.Status().Services[0].Servers[0].Quarantined)
}
