//go:build review

package main

import (
	"sync"
	"time"

	"lagoonramp.org/lagoonramp/platform/stub"
)

// This file holds trials that are no cases: the rule held, or no rule names what
// they show.

// pairReturn is loneReturn for a host of a zone that has two.
func pairReturn(b *bed, trouble bool) (int, error) {
	b.latency = requesterLatency
	if err := startHCMFA(b); err != nil {
		return 0, err
	}
	r, err := b.newRequester("sapporo", 1)
	if err != nil {
		return 0, err
	}
	defer r.close()
	time.Sleep(2 * time.Second)
	if trouble {
		for i := range restarts {
			time.AfterFunc(time.Second+time.Duration(i)*restartInterval, b.hosts[0].restart)
		}
	}
	return pausing{perSecond: 150, duration: restarts * restartInterval, pause: pauseDuration}.run(b, r), nil
}

// startKDN starts the deployment of the site kdn-dossierhub.
func startKDN(b *bed) error {
	b.putConfig(pageRoute, submitRoute)
	for _, z := range []struct {
		name           string
		servers, hosts int
	}{{"se-east-a", 5, 3}, {"se-east-b", 5, 2}, {"se-east-c", 4, 2}} {
		if err := b.addServers(z.servers, pageRoute.service, z.name, 2); err != nil {
			return err
		}
		if err := b.addHosts(z.hosts, z.name); err != nil {
			return err
		}
	}
	return b.waitReady()
}

// rollingTerm restarts the three hosts of a zone one after the other. All hosts
// have been running for longer than a flow lives, so a restarted host queries only
// one of the others for pins.
func rollingTerm(b *bed, trouble bool) (int, error) {
	if err := startKDN(b); err != nil {
		return 0, err
	}
	r, err := b.newRequester("se-east-a", 1)
	if err != nil {
		return 0, err
	}
	defer r.close()
	time.Sleep(flowLifetime + time.Second)
	if trouble {
		for i, h := range b.hosts[:3] {
			time.AfterFunc(2*time.Second+time.Duration(i)*5*time.Second, h.restart)
		}
	}
	return pausing{perSecond: 110, duration: 16 * time.Second, loseEvery: 20, pause: pauseDuration}.run(b, r), nil
}

// rollThree restarts the three hosts of a zone at shorter intervals than a restart
// takes, under load.
func rollThree(b *bed, trouble bool) (int, error) {
	b.latency = requesterLatency
	if err := startKDN(b); err != nil {
		return 0, err
	}
	r, err := b.newRequester("se-east-a", 1)
	if err != nil {
		return 0, err
	}
	defer r.close()
	background, err := b.newRequester("se-east-a", 2)
	if err != nil {
		return 0, err
	}
	defer background.close()
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { b.pages(background, 60, stop) })
	time.Sleep(2 * time.Second)
	if trouble {
		for i, h := range b.hosts[:3] {
			time.AfterFunc(time.Second+time.Duration(i)*1300*time.Millisecond, h.restart)
		}
	}
	broken := pausing{perSecond: 60, duration: 10 * time.Second, loseEvery: 20, pause: 2 * time.Second}.run(b, r)
	close(stop)
	group.Wait()
	return broken, nil
}

// hangingStop stops a host that has no view yet, since the store is down. It
// reports 1 if the process is still there when its grace period is over.
func hangingStop(b *bed, trouble bool) (int, error) {
	b.putConfig(pageRoute)
	if trouble {
		b.store.SetFault(stub.Unavailable)
		b.record.line("disruption: the store is down (busy)")
	}
	if err := b.addHosts(1, "sapporo"); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	if b.hosts[0].stop() {
		return 1, nil
	}
	return 0, nil
}
