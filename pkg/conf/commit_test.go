package conf_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/internal/fakes"
	"lagoonramp.org/lagoonramp/pkg/conf"
	"lagoonramp.org/lagoonramp/pkg/store"
)

// newStore returns a fake platform and a store client that is connected to it.
func newStore(t *testing.T) (*fakes.Platform, *store.Client) {
	t.Helper()
	p := fakes.NewPlatform()
	srv := httptest.NewServer(p)
	c := store.New(store.Settings{URL: srv.URL, CallsPerSecond: 1e6, Burst: 1e6})
	t.Cleanup(func() { c.Close(); srv.Close() })
	return p, c
}

// section returns a section with one UDP service and one server, whose
// addresses have the given port.
func section(port int, state conf.State) conf.Section {
	return conf.Section{Services: []conf.Service{{
		Name:     fmt.Sprintf("svc-%d", port),
		Address:  fmt.Sprintf("192.0.2.1:%d", port),
		Protocol: conf.UDP,
		Servers: []conf.Server{{
			Name: "s1", Address: fmt.Sprintf("192.0.2.9:%d", port), DataCentre: "sapporo",
			Slots: 3, Connections: 2000, State: state,
		}},
	}}}
}

// edit returns an edit of a team's section, based on revision base.
func edit(team, id string, base uint64, s conf.Section) conf.Edit {
	return conf.Edit{Team: team, Section: s, Base: base, Who: "ops", ID: id, At: time.Unix(0, 0)}
}

func TestPutWithStaleBaseConflicts(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	_, kv := newStore(t)
	c := &conf.Committer{KV: kv}
	first, err := c.Put(ctx, edit("desk", "a", 0, section(80, conf.Active)))
	is.NoErr(err)
	is.Equal(first.Revision, uint64(1))
	_, err = c.Put(ctx, edit("press", "b", 0, section(81, conf.Active)))
	is.NoErr(err) // A commit of another team is not a conflict.
	_, err = c.Put(ctx, edit("desk", "c", 1, section(80, conf.Draining)))
	is.NoErr(err)
	_, err = c.Put(ctx, edit("desk", "d", 1, section(80, conf.Active)))
	var conflict *conf.ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Current, uint64(3))
	is.Equal(conflict.Theirs.Services[0].Servers[0].State, conf.Draining)
}

func TestPutChecksWholeDocument(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	_, kv := newStore(t)
	c := &conf.Committer{KV: kv}
	_, err := c.Put(ctx, edit("desk", "a", 0, section(80, conf.Active)))
	is.NoErr(err)
	_, err = c.Put(ctx, edit("press", "b", 0, section(80, conf.Active)))
	var check *conf.CheckError
	is.True(errors.As(err, &check))
	is.Equal(len(check.Faults), 3) // Name, service address and server address.
}

func TestAddressIsUniquePerTransport(t *testing.T) {
	is := is.New(t)
	quic, web := section(443, conf.Active), section(443, conf.Active)
	web.Services[0].Name = "web"
	web.Services[0].Protocol = conf.HTTP
	d := conf.Document{Teams: map[string]conf.Section{"a": quic, "b": web}}
	is.NoErr(conf.Check(&d))
	web.Services[0].Protocol = conf.UDP
	is.True(conf.Check(&d) != nil)
}

// TestRetriedPutCommitsOnceAfterLostAnswers guards against committing an edit
// twice. The platform executes calls whose answers are lost, so the committer
// cannot tell whether its write took effect.
func TestRetriedPutCommitsOnceAfterLostAnswers(t *testing.T) {
	for lostAnswers := 1; lostAnswers <= 4; lostAnswers++ {
		t.Run(fmt.Sprint(lostAnswers), func(t *testing.T) {
			is := is.New(t)
			p, kv := newStore(t)
			p.SetFaults(fakes.PlatformFaults{LoseAnswers: lostAnswers})
			c := &conf.Committer{KV: kv}
			got, err := c.Put(context.Background(), edit("desk", "a", 0, section(80, conf.Active)))
			is.NoErr(err)
			again, err := c.Put(context.Background(), edit("desk", "a", 0, section(80, conf.Active)))
			is.NoErr(err)
			is.Equal(got.Revision, again.Revision)
			h, _, err := conf.ReadHead(context.Background(), kv)
			is.NoErr(err)
			is.Equal(h.Revision, uint64(1)) // Committed once.
		})
	}
}

// putTwoEdits commits two edits of a section. restore rolls the platform back
// to its state after the first edit, and last is the commit of the second.
func putTwoEdits(t *testing.T) (p *fakes.Platform, kv *store.Client, c *conf.Committer, last conf.Commit, restore func()) {
	t.Helper()
	is := is.New(t)
	ctx := context.Background()
	p, kv = newStore(t)
	c = &conf.Committer{KV: kv}
	_, err := c.Put(ctx, edit("desk", "a", 0, section(80, conf.Active)))
	is.NoErr(err)
	restore = p.Snapshot()
	last, err = c.Put(ctx, edit("desk", "b", 1, section(80, conf.Draining)))
	is.NoErr(err)
	return p, kv, c, last, restore
}

// TestPutRejectsRolledBackPlatform guards against commits on top of an old
// head, which would reuse revisions that hosts have already adopted.
func TestPutRejectsRolledBackPlatform(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	_, kv, c, last, restore := putTwoEdits(t)
	restore()
	c.MinRevision = last.Revision
	_, err := c.Put(ctx, edit("desk", "c", 1, section(80, conf.Leaving)))
	var stale *conf.StaleHeadError
	is.True(errors.As(err, &stale))
	h, _, err := conf.ReadHead(ctx, kv)
	is.NoErr(err)
	is.Equal(h.Revision, uint64(1))
}

func TestRepublishAfterPlatformRollback(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p, kv, c, _, restore := putTwoEdits(t)
	head, _, err := conf.ReadHead(ctx, kv)
	is.NoErr(err)
	body := conf.EncodeSection(section(80, conf.Draining))
	var a conf.Adopter
	_, _, err = a.Offer(head, map[string][]byte{conf.Digest(body): body}, conf.FromPlatform)
	is.NoErr(err)
	_, err = conf.Republish(ctx, kv, a.InForce(), "ops", "r", time.Unix(0, 0))
	is.True(err != nil) // The platform is not behind.
	restore()
	p.SetFaults(fakes.PlatformFaults{LoseAnswers: 1})
	got, err := conf.Republish(ctx, kv, a.InForce(), "ops", "r", time.Unix(0, 0))
	if err != nil {
		got, err = conf.Republish(ctx, kv, a.InForce(), "ops", "r", time.Unix(0, 0))
	}
	is.NoErr(err)
	is.Equal(got.Revision, uint64(3))
	now, _, err := conf.ReadHead(ctx, kv)
	is.NoErr(err)
	d, err := conf.ReadDocument(ctx, kv, now)
	is.NoErr(err)
	is.Equal(d.Teams["desk"].Services[0].Servers[0].State, conf.Draining)
	last, err := c.Put(ctx, edit("desk", "c", 2, section(80, conf.Leaving)))
	is.NoErr(err) // Edits can be based on the republished revision.
	is.Equal(last.Revision, uint64(4))
}

// editInput and editOutput describe one read or edit in a recorded history.
type editInput struct {
	read bool
	base uint64
}

type editOutput struct {
	revision uint64
	ok       bool
}

// sectionModel models the revision of a section as a register that an edit
// changes only if it holds the base of the edit.
var sectionModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		s := state.(uint64)
		in := input.(editInput)
		out := output.(editOutput)
		switch {
		case in.read:
			return out.revision == s, s
		case out.ok:
			return in.base == s && out.revision > s, out.revision
		}
		return in.base != s, s // A conflict is correct only if the base is outdated.
	},
}

func TestConcurrentEditsAreLinearizable(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			p, kv := newStore(t)
			is.True(porcupine.CheckOperations(sectionModel, runConcurrentEdits(p, kv, seed)))
		})
	}
}

// runConcurrentEdits runs clients that edit one section concurrently while the
// platform loses answers. It returns the recorded history.
func runConcurrentEdits(p *fakes.Platform, kv *store.Client, seed uint64) []porcupine.Operation {
	var (
		mu  sync.Mutex
		ops []porcupine.Operation
		wg  sync.WaitGroup
	)
	epoch := time.Now()
	for client := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rng := rand.New(rand.NewPCG(seed, uint64(client)))
			for n := range 8 {
				if rng.IntN(3) == 0 {
					p.SetFaults(fakes.PlatformFaults{LoseAnswers: 1 + rng.IntN(2)})
				}
				c := &conf.Committer{KV: kv}
				began := time.Since(epoch)
				h, _, err := conf.ReadHead(context.Background(), kv)
				if err != nil {
					continue
				}
				base := h.Sections["desk"].Revision
				read := porcupine.Operation{
					ClientId: client, Call: int64(began), Return: int64(time.Since(epoch)),
					Input: editInput{read: true}, Output: editOutput{revision: base},
				}
				began = time.Since(epoch)
				e := edit("desk", fmt.Sprintf("%d-%d", client, n), base, section(1000+client*100+n, conf.Active))
				commit, err := c.Put(context.Background(), e)
				var conflict *conf.ConflictError
				if err != nil && !errors.As(err, &conflict) {
					panic(err)
				}
				put := porcupine.Operation{
					ClientId: client, Call: int64(began), Return: int64(time.Since(epoch)),
					Input:  editInput{base: base},
					Output: editOutput{revision: commit.Revision, ok: err == nil},
				}
				mu.Lock()
				ops = append(ops, read, put)
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return ops
}

// TestAdopterRejectsRollbackForkAndDamage checks that an adopter keeps its
// revision when it is offered an older head, another head of the same revision,
// or a body that does not match its digest.
func TestAdopterRejectsRollbackForkAndDamage(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	_, kv := newStore(t)
	c := &conf.Committer{KV: kv}
	var heads []*conf.Head
	bodies := map[string][]byte{}
	for i, s := range []conf.State{conf.Active, conf.Draining} {
		sec := section(80, s)
		_, err := c.Put(ctx, edit("desk", fmt.Sprint(i), uint64(i), sec))
		is.NoErr(err)
		h, _, err := conf.ReadHead(ctx, kv)
		is.NoErr(err)
		heads = append(heads, h)
		bodies[conf.Digest(conf.EncodeSection(sec))] = conf.EncodeSection(sec)
	}
	var a conf.Adopter
	ok, _, err := a.Offer(heads[1], bodies, conf.FromPeer)
	is.NoErr(err)
	is.True(ok)
	ok, alarm, _ := a.Offer(heads[0], bodies, conf.FromPlatform)
	is.True(!ok)
	is.Equal(alarm, conf.AlarmRollback)
	fork := *heads[1]
	fork.Sections = heads[0].Sections
	_, alarm, _ = a.Offer(&fork, bodies, conf.FromPeer)
	is.Equal(alarm, conf.AlarmFork)
	next := *heads[1]
	next.Revision = 3
	next.Sections = map[string]conf.SectionRef{"desk": {Revision: 3, Digest: "00"}}
	_, alarm, _ = a.Offer(&next, map[string][]byte{"00": []byte("{}")}, conf.FromPeer)
	is.Equal(alarm, conf.AlarmDamaged)
	is.Equal(a.Revision(), uint64(2))
}

func TestDecodeErrorNamesLineAndField(t *testing.T) {
	is := is.New(t)
	var d conf.Document
	err := conf.Decode([]byte("{\n\"teams\": {\"a\": {\"services\": [\n{\"nam\": 1}]}}}"), &d)
	is.True(err != nil && strings.Contains(err.Error(), "nam") && strings.Contains(err.Error(), "line 3"))
	err = conf.Decode([]byte("{\"teams\": {\"a\": {\"services\": [{\"port\": 1, \"name\": 1}]}}}"), &d)
	is.True(err != nil)
}

// TestLargeDocumentFitsStoreLimit checks that a document of the target size, 60
// teams with 34 services each, is valid, and that every section is smaller than
// an eighth of the largest value that the store accepts.
func TestLargeDocumentFitsStoreLimit(t *testing.T) {
	is := is.New(t)
	d := conf.Document{Teams: map[string]conf.Section{}}
	for team := range 60 {
		var s conf.Section
		for svc := range 34 {
			n := team*34 + svc
			service := conf.Service{Name: fmt.Sprintf("service-%d", n), Protocol: conf.TCP,
				Address: fmt.Sprintf("198.51.%d.%d:443", n/250, n%250+1)}
			for k := range 3 {
				service.Servers = append(service.Servers, conf.Server{
					Name: fmt.Sprintf("server-%d", k), Address: fmt.Sprintf("10.%d.%d.%d:8443", k, n/250, n%250+1),
					DataCentre: "se-east-a", Slots: 3, Connections: 2000, State: conf.Active})
			}
			s.Services = append(s.Services, service)
		}
		is.True(len(conf.EncodeSection(s)) < store.MaxValueBytes/8)
		d.Teams[fmt.Sprintf("team-%d", team)] = s
	}
	is.NoErr(conf.Check(&d))
}
