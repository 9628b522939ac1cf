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

// publication is one published version of the configuration.
type publication struct {
	version     uint64
	reachableAt time.Time // Time from which instances can read the version: its publication, or the end of the fault during which it was published.
	unreachable bool      // No instance can read it yet.
}

// observation is what the status pages of one instance process have shown.
type observation struct {
	firstSeen      time.Time // Time of the first status.
	highestVersion uint64
	checksum       string               // Checksum of the configuration in force, from the latest status.
	versionSeen    map[uint64]time.Time // First time at which this version or a later one was in force.
}

// configWatcher polls the status of all instances and records which configuration
// was in force when.
type configWatcher struct {
	trial   *Trial
	cluster *deployer.Cluster
	client  http.Client
	stop    chan struct{}
	done    chan struct{}

	mu           sync.Mutex
	unreachable  bool // Instances cannot read new publications at present.
	published    []publication
	observations map[*launcher.Instance]*observation
	reverts      int     // How often an instance went back to an older version.
	pendingSum   float64 // Sum of the pending watches at each poll.
	pollCount    float64
}

const pollInterval = 100 * time.Millisecond

func newConfigWatcher(t *Trial, c *deployer.Cluster) *configWatcher {
	w := &configWatcher{trial: t, cluster: c, stop: make(chan struct{}), done: make(chan struct{}), observations: make(map[*launcher.Instance]*observation)}
	w.client.Timeout = time.Second
	return w
}

func (w *configWatcher) poll() {
	defer close(w.done)
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			w.pollInstances()
		case <-w.stop:
			return
		case <-w.trial.ctx.Done():
			return
		}
	}
}

func (w *configWatcher) stopPolling() {
	close(w.stop)
	<-w.done
}

func (w *configWatcher) pollInstances() {
	w.mu.Lock()
	w.pendingSum += float64(w.cluster.Testbed.Platform.PendingWatches.Load())
	w.pollCount++
	w.mu.Unlock()
	var polls sync.WaitGroup
	for _, i := range w.cluster.RunningInstances() {
		polls.Add(1)
		go w.pollInstance(&polls, i)
	}
	polls.Wait()
}

func (w *configWatcher) pollInstance(polls *sync.WaitGroup, i *launcher.Instance) {
	defer polls.Done()
	version, sum, ok := w.readStatus(i)
	if !ok {
		return
	}
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	o := w.observations[i]
	if o == nil {
		o = &observation{firstSeen: now, versionSeen: make(map[uint64]time.Time)}
		w.observations[i] = o
	}
	if version < o.highestVersion {
		w.reverts++
		w.trial.printf("  %s went back from version %d to %d\n", i.Settings.Name, o.highestVersion, version)
	}
	for v := o.highestVersion + 1; v <= version; v++ {
		o.versionSeen[v] = now
	}
	o.highestVersion, o.checksum = max(o.highestVersion, version), sum
}

// readStatus reads the version in force and its checksum from the status of i:
// from the line "config version=N sum=HEX", or from a line "version N" without a
// checksum.
func (w *configWatcher) readStatus(i *launcher.Instance) (version uint64, sum string, ok bool) {
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

// setReachable records whether instances can read new publications. When they can
// again, the time to take effect of earlier unreachable ones is counted from now.
func (w *configWatcher) setReachable(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unreachable = !on
	for i := range w.published {
		if p := &w.published[i]; on && p.unreachable {
			p.reachableAt, p.unreachable = time.Now(), false
		}
	}
}

// slowestChange returns the longest time from when a version could be read until
// it, or a later version, was in force on all instances, that version, and the
// number of versions that an instance never had in force. Only instances that ran
// when the version became readable and still run are considered.
func (w *configWatcher) slowestChange() (worst time.Duration, version uint64, missing int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.observations) == 0 {
		return 0, 0, len(w.published)
	}
	for _, p := range w.published {
		missed := false
		for _, i := range w.cluster.RunningInstances() {
			o := w.observations[i]
			if o == nil || o.firstSeen.After(p.reachableAt) {
				continue
			}
			inForceAt, ok := o.versionSeen[p.version]
			missed = missed || !ok
			if d := inForceAt.Sub(p.reachableAt); ok && d > worst {
				worst, version = d, p.version
			}
		}
		if missed {
			missing++
		}
	}
	return worst, version, missing
}

// versionsInForce returns the set of configuration versions, with their checksums,
// that are in force on the running instances.
func (w *configWatcher) versionsInForce() map[string]bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := make(map[string]bool)
	for _, i := range w.cluster.RunningInstances() {
		if o := w.observations[i]; o != nil {
			all[fmt.Sprint(o.highestVersion, " ", o.checksum)] = true
		}
	}
	return all
}

// averagePendingWatches returns the mean number of watches that the platform held
// open over all polls.
func (w *configWatcher) averagePendingWatches() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pendingSum / max(w.pollCount, 1)
}
