package main

import (
	"bytes"
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

// instance is one process of the program under review.
type instance struct {
	name, zone, front, operator, control string
	dir                                  string
	command                              *exec.Cmd
	startedAt                            time.Time
	starts                               int
}

// fleet is the instances of a small deployment.
type fleet struct {
	record    *recorder
	store     *store
	dir       string
	instances []*instance
	zones     []string
	notice    string
	// storeAddress returns the address by which an instance reaches the store.
	storeAddress func(i *instance) string
	mu           sync.Mutex
}

// freeAddress returns an unused address with a port. The loopback address is one of this
// run alone, which outgoing connections do not use.
func freeAddress() string {
	p := os.Getpid()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+p>>15%254, 1+p>>8%127, 1+p%254))
	if err != nil {
		cannotRun("listen: %v", err)
	}
	addresses = append(addresses, l)
	return l.Addr().String()
}

// addresses holds the addresses of freeAddress until the processes start.
var addresses []net.Listener

// newFleet prepares count instances, dealt to three zones in turn.
func newFleet(r *recorder, s *store, count int) *fleet {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		cannotRun("folder: %v", err)
	}
	f := &fleet{record: r, store: s, dir: dir, zones: []string{"gwynedd", "powys", "morgannwg"}, notice: "2500ms"}
	f.storeAddress = func(*instance) string { return s.address }
	for n := range count {
		zone := f.zones[n%len(f.zones)]
		i := &instance{name: fmt.Sprintf("front-%s-%d", zone, n/len(f.zones)+1), zone: zone, front: freeAddress(), operator: freeAddress(), control: freeAddress()}
		i.dir = filepath.Join(dir, i.name)
		if err := os.Mkdir(i.dir, 0o755); err != nil {
			cannotRun("folder: %v", err)
		}
		f.instances = append(f.instances, i)
	}
	for _, l := range addresses {
		_ = l.Close()
	}
	return f
}

// settings returns the settings as deploy/settings.toml renders them.
func (f *fleet) settings(i *instance, bootstrap bool) string {
	var seeds []string
	for _, s := range f.instances[:3] {
		seeds = append(seeds, fmt.Sprintf("%q", s.control))
	}
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\nzone = %q\nregion = \"cymru\"\ncallers = %q\noperator = %q\npeers = %q\n", i.name, i.zone, i.front, i.operator, i.control)
	fmt.Fprintf(&b, "seeds = [%s]\nplatform = \"http://%s\"\ndialect = \"cymdeithas\"\nplain = true\nnotice = %q\ngrace = \"6s\"\n", strings.Join(seeds, ","), f.storeAddress(i), f.notice)
	fmt.Fprintf(&b, "memory = 284\ncapacity = 0.32\nbootstrap = %v\n[retry]\nratio = 0.2\nslack = 64\nwindow = \"10s\"\n[regions]\n", bootstrap)
	for _, z := range f.zones {
		fmt.Fprintf(&b, "%s = \"cymru\"\n", z)
	}
	return b.String()
}

// start starts the process of i.
func (f *fleet) start(i *instance, bootstrap bool) {
	path := filepath.Join(i.dir, "settings.toml")
	if err := os.WriteFile(path, []byte(f.settings(i, bootstrap)), 0o644); err != nil {
		cannotRun("settings: %v", err)
	}
	i.starts++
	out, err := os.Create(filepath.Join(i.dir, fmt.Sprintf("log-%d.txt", i.starts)))
	if err != nil {
		cannotRun("log: %v", err)
	}
	i.command = exec.Command(programPath(), "run", path)
	i.command.Env = append(os.Environ(), "SARDINELEVER_NODE_FILE="+path, "GOMAXPROCS=1")
	i.command.Stdout, i.command.Stderr = out, out
	i.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.command.Start(); err != nil {
		cannotRun("start: %v", err)
	}
	_ = out.Close()
	i.startedAt = time.Now()
	f.record.line("fleet", "started %s pid %d", i.name, i.command.Process.Pid)
}

// programPath returns the program that the deploy file builds.
func programPath() string {
	path := os.Getenv("SARDINELEVER")
	if path == "" {
		path = "target/sardinelever"
	}
	path, err := filepath.Abs(path)
	if err != nil {
		cannotRun("program: %v", err)
	}
	if _, err := os.Stat(path); err != nil {
		cannotRun("program: %v", err)
	}
	return path
}

// signal sends a signal to the process of i.
func (f *fleet) signal(i *instance, s syscall.Signal) {
	f.record.line("fleet", "%v to %s", s, i.name)
	_ = i.command.Process.Signal(s)
}

// signalAll sends a signal to the processes of instances.
func (f *fleet) signalAll(instances []*instance, s syscall.Signal) {
	for _, i := range instances {
		f.signal(i, s)
	}
}

// kill ends the process of i at once.
func (f *fleet) kill(i *instance) {
	f.signal(i, syscall.SIGKILL)
	_ = i.command.Wait()
}

// close ends all processes and removes the folder.
func (f *fleet) close() {
	for _, i := range f.instances {
		if i.command != nil && i.command.ProcessState == nil {
			_ = i.command.Process.Signal(syscall.SIGCONT)
			_ = i.command.Process.Kill()
			_ = i.command.Wait()
		}
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		fmt.Println("logs:", f.dir)
		return
	}
	_ = os.RemoveAll(f.dir)
}

// awaitReady waits until all instances answer the readiness check with 200.
func (f *fleet) awaitReady(instances []*instance, limit time.Duration) {
	deadline := time.Now().Add(limit)
	for _, i := range instances {
		for !isReady(i) {
			if time.Now().After(deadline) {
				cannotRun("%s is not ready", i.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func isReady(i *instance) bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + i.operator + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// logLines returns the lines of the latest log of i that contain text.
func (i *instance) logLines(text string) (out []string) {
	b, _ := os.ReadFile(filepath.Join(i.dir, fmt.Sprintf("log-%d.txt", i.starts)))
	for line := range bytes.Lines(b) {
		if bytes.Contains(line, []byte(text)) {
			out = append(out, string(bytes.TrimSpace(line)))
		}
	}
	return out
}

// readers returns the two instances whose records the others follow, by the logs.
func (f *fleet) readers() map[string]bool {
	counts := make(map[string]int)
	for _, i := range f.instances {
		for _, line := range i.logLines("following the records of another instance") {
			if _, rest, ok := strings.Cut(line, `"instance":"`); ok {
				name, _, _ := strings.Cut(rest, `"`)
				counts[name]++
			}
		}
	}
	out := make(map[string]bool)
	for range 2 {
		best := ""
		for name, n := range counts {
			if !out[name] && (best == "" || n > counts[best]) {
				best = name
			}
		}
		if best != "" {
			out[best] = true
		}
	}
	return out
}
