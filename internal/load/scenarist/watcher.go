package scenarist

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"sardinelever.example/sardinelever/internal/load/deployer"
	"sardinelever.example/sardinelever/internal/standin/launcher"
)

// publication is one published version; at is moved to the end of a time in
// which no reader could reach it.
type publication struct {
	version     uint64
	at          time.Time
	unreachable bool
}

// seen is what the status of one instance process showed.
type seen struct {
	since   time.Time
	highest uint64
	sum     string
	at      map[uint64]time.Time // First time at which a version or a later one was in force.
}

// watcher follows the configuration in force by the status of each instance.
type watcher struct {
	trial   *Trial
	cluster *deployer.Cluster
	client  http.Client
	stop    chan struct{}
	done    chan struct{}

	mu        sync.Mutex
	hidden    bool
	published []publication
	instances map[*launcher.Instance]*seen
	reverts   int
	watches   float64
	rounds    float64
}

const watchStep = 100 * time.Millisecond

func newWatcher(t *Trial, c *deployer.Cluster) *watcher {
	w := &watcher{trial: t, cluster: c, stop: make(chan struct{}), done: make(chan struct{}), instances: make(map[*launcher.Instance]*seen)}
	w.client.Timeout = time.Second
	return w
}

func (w *watcher) run() {
	defer close(w.done)
	tick := time.NewTicker(watchStep)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			w.round()
		case <-w.stop:
			return
		case <-w.trial.ctx.Done():
			return
		}
	}
}

func (w *watcher) finish() {
	close(w.stop)
	<-w.done
}

func (w *watcher) round() {
	w.mu.Lock()
	w.watches += float64(w.cluster.Stager.Platform.PendingWatches.Load())
	w.rounds++
	w.mu.Unlock()
	var all sync.WaitGroup
	for _, i := range w.cluster.Running() {
		all.Add(1)
		go w.ask(&all, i)
	}
	all.Wait()
}

func (w *watcher) ask(all *sync.WaitGroup, i *launcher.Instance) {
	defer all.Done()
	version, sum, ok := w.status(i)
	if !ok {
		return
	}
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.instances[i]
	if s == nil {
		s = &seen{since: now, at: make(map[uint64]time.Time)}
		w.instances[i] = s
	}
	if version < s.highest {
		w.reverts++
		w.trial.printf("  %s went back from version %d to %d\n", i.Settings.Name, s.highest, version)
	}
	for v := s.highest + 1; v <= version; v++ {
		s.at[v] = now
	}
	s.highest, s.sum = max(s.highest, version), sum
}

// status reads the line "config version=N sum=HEX", or a first line "version N".
func (w *watcher) status(i *launcher.Instance) (version uint64, sum string, ok bool) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, fmt.Sprintf("http://%s/status", i.Settings.Operator), nil)
	if err != nil {
		return 0, "", false
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return 0, "", false
	}
	defer func() { _ = resp.Body.Close() }()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		f := strings.Fields(strings.ReplaceAll(lines.Text(), "=", " "))
		for n := 0; n+1 < len(f) && (f[0] == "config" || f[0] == "version"); n++ {
			switch f[n] {
			case "version":
				version, err = strconv.ParseUint(f[n+1], 10, 64)
				ok = ok || err == nil
			case "sum":
				sum = f[n+1]
			}
		}
		if ok {
			return version, sum, true
		}
	}
	return 0, "", false
}

// reachable marks whether readers can reach new publications. Those that were
// hidden count from now on.
func (w *watcher) reachable(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hidden = !on
	for i := range w.published {
		if p := &w.published[i]; on && p.unreachable {
			p.at, p.unreachable = time.Now(), false
		}
	}
}

// slowest returns the longest time until a version, or a later one, was in
// force on all instances that ran when it became reachable and still run, and
// how many versions missed an instance.
func (w *watcher) slowest() (worst time.Duration, version uint64, missing int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.instances) == 0 {
		return 0, 0, len(w.published)
	}
	for _, p := range w.published {
		gone := false
		for _, i := range w.cluster.Running() {
			s := w.instances[i]
			if s == nil || s.since.After(p.at) {
				continue
			}
			at, ok := s.at[p.version]
			gone = gone || !ok
			if d := at.Sub(p.at); ok && d > worst {
				worst, version = d, p.version
			}
		}
		if gone {
			missing++
		}
	}
	return worst, version, missing
}

// sums returns the checksums in force on the running instances.
func (w *watcher) sums() map[string]bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := make(map[string]bool)
	for _, i := range w.cluster.Running() {
		if s := w.instances[i]; s != nil {
			all[fmt.Sprint(s.highest, " ", s.sum)] = true
		}
	}
	return all
}

// pending returns the average number of waiting watches.
func (w *watcher) pending() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.watches / max(w.rounds, 1)
}
