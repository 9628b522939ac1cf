package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// lab holds what one case has started.
type lab struct {
	root, temp string
	start      time.Time
	mu         sync.Mutex
	record     *os.File
	instances  []*instance
	store      *store
}

func newLab(root, dir string) (*lab, error) {
	temp, err := os.MkdirTemp("", "lab2-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &lab{root: root, temp: temp, record: f, start: time.Now()}, nil
}

// note writes a line to the record and to standard output.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := fmt.Sprintf("%7.3f s  ", time.Since(l.start).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = l.record.WriteString(line)
	fmt.Print(line)
}

// close ends all processes that the lab has started.
func (l *lab) close() {
	for _, i := range l.instances {
		i.kill()
	}
	_ = l.record.Close()
	_ = os.RemoveAll(l.temp)
}

// freeAddr returns a free loopback address.
func freeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// instance is one process of the project.
type instance struct {
	lab                   *lab
	name, zone            string
	front, ready, control string
	settings              string
	mu                    sync.Mutex
	cmd                   *exec.Cmd
	done                  chan struct{} // Closed when the process has ended.
	ended                 string        // How the process ended.
	stderr                bytes.Buffer
	stderrMu              sync.Mutex
	killed                bool
}

// fleetOptions describes the instances of a small deployment.
type fleetOptions struct {
	zones  []string // Zone of each instance.
	values map[string]any
}

// startFleet starts one instance for each zone with settings from the template of the
// deploy file.
func (l *lab) startFleet(o fleetOptions) error {
	zones := map[string]any{}
	var seeds []any
	for n, z := range o.zones {
		zones[z] = "region-1"
		i := &instance{lab: l, name: fmt.Sprintf("front-%s-%d", z, n+1), zone: z, front: freeAddr(), ready: freeAddr(), control: freeAddr()}
		l.instances = append(l.instances, i)
		if len(seeds) < 3 {
			seeds = append(seeds, i.control)
		}
	}
	template, err := os.ReadFile(filepath.Join(l.root, "deploy", "settings.toml"))
	if err != nil {
		return err
	}
	for _, i := range l.instances {
		values := map[string]any{
			"NodeName": i.name, "Zone": i.zone, "Region": "region-1", "Bootstrap": true, "Seeds": seeds, "Zones": zones,
			"Listen":    map[string]any{"Front": i.front, "Ready": i.ready, "Control": i.control},
			"Platform":  map[string]any{"Address": l.store.addr},
			"Bounds":    map[string]any{"Grace": "6s", "RetryBudgetRatio": 0.2, "BudgetWindow": "10s", "BudgetSlack": 60},
			"Limits":    map[string]any{"MemoryMb": 284, "MaxFds": 4100, "CpuShare": 0.32},
			"Contracts": []any{"base", "drain", "config", "cost", "retry", "recover", "health", "platform"},
		}
		for k, v := range o.values {
			values[k] = v
		}
		i.settings = filepath.Join(l.temp, i.name+".toml")
		if err := os.WriteFile(i.settings, []byte(render(string(template), values)), 0o600); err != nil {
			return err
		}
		if err := i.run(); err != nil {
			return err
		}
	}
	return nil
}

// run starts the process.
func (i *instance) run() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	cmd := exec.Command(filepath.Join(i.lab.root, "target", "sardinelever"), "run", i.settings)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "SARDINELEVER_NODE_FILE=" + i.settings}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.OpenFile(filepath.Join(i.lab.temp, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = log, (*stderrWriter)(i)
	if err := cmd.Start(); err != nil {
		return err
	}
	i.cmd, i.done, i.killed = cmd, make(chan struct{}), false
	i.lab.note("%s: started, pid %d, front %s", i.name, cmd.Process.Pid, i.front)
	go func(done chan struct{}) {
		err := cmd.Wait()
		_ = log.Close()
		i.mu.Lock()
		i.ended = fmt.Sprint(err)
		i.mu.Unlock()
		close(done)
	}(i.done)
	return nil
}

// restart starts the process again. The settings then say that the whole system does not
// start for the first time.
func (i *instance) restart() error {
	text, err := os.ReadFile(i.settings)
	if err != nil {
		return err
	}
	text = bytes.Replace(text, []byte("bootstrap = true"), []byte("bootstrap = false"), 1)
	if err := os.WriteFile(i.settings, text, 0o600); err != nil {
		return err
	}
	return i.run()
}

// stderrWriter keeps what the process writes to standard error.
type stderrWriter instance

func (w *stderrWriter) Write(p []byte) (int, error) {
	w.stderrMu.Lock()
	defer w.stderrMu.Unlock()
	if w.stderr.Len() < 64<<10 {
		w.stderr.Write(p)
	}
	return len(p), nil
}

func (i *instance) stderrText() string {
	i.stderrMu.Lock()
	defer i.stderrMu.Unlock()
	return i.stderr.String()
}

func (i *instance) pid() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.cmd.Process.Pid
}

func (i *instance) signal(s syscall.Signal) { _ = syscall.Kill(i.pid(), s) }

func (i *instance) kill() {
	if i.cmd == nil {
		return
	}
	i.killed = true
	i.signal(syscall.SIGCONT)
	_ = i.cmd.Process.Kill()
	<-i.done
}

// isReady asks the instance whether it is ready.
func (i *instance) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + i.ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all instances are ready.
func (l *lab) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, i := range l.instances {
		for !i.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", i.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	l.note("all instances are ready")
	return nil
}

// peakMemory returns the peak of the resident memory in MB.
func (i *instance) peakMemory() float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.pid()))
	for line := range strings.SplitSeq(string(text), "\n") {
		var kb float64
		if n, _ := fmt.Sscanf(line, "VmHWM: %f kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	return 0
}

// render fills in a template of the deploy file as the platform's page says.
func render(t string, scopes ...any) string {
	var out strings.Builder
	for {
		before, rest, ok := strings.Cut(t, "{{")
		out.WriteString(before)
		if !ok {
			return out.String()
		}
		tag, after, _ := strings.Cut(rest, "}}")
		if tag[0] != '#' {
			out.WriteString(renderValue(tag, scopes))
			t = after
			continue
		}
		inner, tail, _ := strings.Cut(after, "{{/"+tag[1:]+"}}")
		switch v := lookUp(tag[1:], scopes).(type) {
		case nil:
		case map[string]any:
			for k, e := range v {
				out.WriteString(render(strings.ReplaceAll(inner, "{{@}}", k), append(scopes, e)...))
			}
		default:
			out.WriteString(render(inner, scopes...))
		}
		t = tail
	}
}

func renderValue(tag string, scopes []any) string {
	name, asJSON := strings.CutSuffix(tag, "|json")
	v := lookUp(name, scopes)
	if asJSON {
		text, _ := json.Marshal(v)
		return string(text)
	}
	if v == nil {
		return ""
	}
	return fmt.Sprint(v)
}

func lookUp(name string, scopes []any) any {
	for n := len(scopes) - 1; n >= 0; n-- {
		v := scopes[n]
		if name == "." {
			return v
		}
		for part := range strings.SplitSeq(name, ".") {
			m, _ := v.(map[string]any)
			v = m[part]
		}
		if v != nil {
			return v
		}
	}
	return nil
}
