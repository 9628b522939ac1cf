package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["10"] = playLargeConfiguration }

const (
	// manyRoutes makes a configuration of about 0.93 MB, below ValueBytes.
	manyRoutes = 5400
	fewRoutes  = 540
	// configWait is the time after the confirmation from which requests are judged; the
	// bound ConfigApply is 2 s.
	configWait = 15 * time.Second
)

// playLargeConfiguration publishes a configuration that moves a route to another service
// and has many routes, within ValueBytes of the store.
func playLargeConfiguration(l *lab, trouble bool) (bool, error) {
	if err := l.startStore(); err != nil {
		return false, err
	}
	all := newRuns()
	for n, service := range []string{"older", "older", "older", "newer", "newer", "newer"} {
		b := &backend{id: fmt.Sprintf("i-%04d", n), service: service, zone: "abc"[n%3 : n%3+1], slots: 6, queue: 8, work: 5 * time.Millisecond, runs: all}
		if err := l.startBackend(b); err != nil {
			return false, err
		}
	}
	routes := map[string]route{"r-first": {"shop.example", "/orders/", "unsafe", "1500ms", "800ms", 1, 2, "older"}}
	if _, err := l.store.put("op/config", configRecord("r7", routes, "older", "newer")); err != nil {
		return false, err
	}
	if err := l.startFleet(fleetOptions{zones: []string{"a", "b", "c"}}); err != nil {
		return false, err
	}
	if err := l.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if n := l.askAll(all, "before", "/orders/1"); n["older"] != 3 {
		return false, fmt.Errorf("before the change: %v", n)
	}
	count := fewRoutes
	if trouble {
		count = manyRoutes
	}
	routes["r-first"] = route{"shop.example", "/orders/", "unsafe", "1500ms", "800ms", 1, 2, "newer"}
	for n := range count {
		routes[fmt.Sprintf("r-b9%05d", n)] = route{"jepu9.example", fmt.Sprintf("/lepu%05d/", n), "safe", "800ms", "300ms", 1, 2, "newer"}
	}
	record := configRecord("r8", routes, "older", "newer")
	text, _ := json.Marshal(record)
	if _, err := l.store.put("op/config", record); err != nil {
		return false, err
	}
	l.note("r8 is confirmed: %d routes, %d bytes of at most %d; r-first goes to newer", len(routes), len(text), valueBytes)
	time.Sleep(configWait)
	after := l.askAll(all, "after", "/orders/1")
	l.note("requests on r-first sent %v after the confirmation, by the service that ran them: %v", configWait, after)
	l.note("all processes are killed and started again, as the platform does after a loss of power")
	for _, i := range l.instances {
		i.kill()
	}
	for _, i := range l.instances {
		if err := i.restart(); err != nil {
			return false, err
		}
	}
	time.Sleep(configWait)
	for _, i := range l.instances {
		l.note("%s: ready %v after the new start: %v; answer to a request: %d", i.name, configWait, i.isReady(), l.ask(i, "restarted-"+i.name, "/orders/1"))
	}
	return after["older"] > 0, nil
}

// askAll sends a request to each instance and returns how many each service ran.
func (l *lab) askAll(all *runs, id, path string) map[string]int {
	n := map[string]int{}
	for k, i := range l.instances {
		status := l.ask(i, fmt.Sprintf("%s-%d", id, k), path)
		l.note("%s: request %s-%d answered %d, run by %v", i.name, id, k, status, servicesOf(all.of(fmt.Sprintf("%s-%d", id, k))))
		for _, s := range servicesOf(all.of(fmt.Sprintf("%s-%d", id, k))) {
			n[s]++
		}
	}
	return n
}

func servicesOf(rs []runRecord) (names []string) {
	for _, r := range rs {
		names = append(names, r.service)
	}
	return names
}

// ask sends one request and returns the status of the answer.
func (l *lab) ask(i *instance, id, path string) int {
	d := &load{lab: l, targets: []*instance{i}, method: http.MethodPost, host: "shop.example", path: path, body: "order", timeout: 1500 * time.Millisecond, idPrefix: id}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	d.sendAs(client, i, id)
	return d.replies[0].status
}
