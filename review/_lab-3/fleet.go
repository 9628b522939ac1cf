package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// check ends the run if err is not nil. The processes that were started are ended first.
func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		endAll()
		os.Exit(failed)
	}
}

var (
	startedMu sync.Mutex
	started   []*node
	workDir   string // Removed at the end.
)

// endAll ends all processes that were started and removes the temporary folder.
func endAll() {
	startedMu.Lock()
	nodes := slices.Clone(started)
	startedMu.Unlock()
	for _, n := range nodes {
		n.stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(workDir)
	}
}

// node is one entry instance, a process of the project's own program.
type node struct {
	name, front, ready, control string
	file                        string
	cmd                         *exec.Cmd
	done                        chan error
	log                         *os.File
}

// hostOfRun is a loopback address of this run alone, so that no connection of another
// process takes a port that was drawn for an instance.
var hostOfRun = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))

// drawn holds the addresses that freeAddr has returned.
var drawn = map[string]bool{}

// freeAddr returns a free address of hostOfRun, each once.
func freeAddr() string {
	for {
		l, err := net.Listen("tcp", hostOfRun+":0")
		check(err)
		addr := l.Addr().String()
		_ = l.Close()
		if !drawn[addr] {
			drawn[addr] = true
			return addr
		}
	}
}

// settings are those that deploy/settings.toml renders for a small deployment.
const settingsText = `name = %q
zone = "gwynedd"
region = "cymru"
callers = %q
operator = %q
peers = %q
seeds = [%s]
platform = "http://%s"
dialect = "cymdeithas"
plain = true
notice = "2500ms"
grace = "6s"
memory = 284
collect = 25
terms = ["base","drain","config","cost","retry","recover","health","platform"]
descriptors = 4100
capacity = 0.32
bootstrap = %v
[retry]
hedge = 0.8
ratio = 0.2
slack = 64
window = "10s"
[zones]
price = "20s"
[cold]
[regions]
gwynedd = "cymru"
powys = "cymru"
morgannwg = "cymru"
`

// newNodes makes the settings of n instances in dir.
func newNodes(n int, dir, store string) []*node {
	var nodes []*node
	var seeds []string
	for i := range n {
		nd := &node{name: fmt.Sprintf("front-gwynedd-%d", i+1), front: freeAddr(), ready: freeAddr(), control: freeAddr()}
		nodes = append(nodes, nd)
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", nd.control))
		}
	}
	for _, nd := range nodes {
		nd.file = filepath.Join(dir, nd.name+".toml")
		nd.write(seeds, store, true)
	}
	return nodes
}

func (n *node) write(seeds []string, store string, bootstrap bool) {
	text := fmt.Sprintf(settingsText, n.name, n.front, n.ready, n.control, strings.Join(seeds, ","), store, bootstrap)
	check(os.WriteFile(n.file, []byte(text), 0o600))
}

// start starts the process with the command of the deploy file.
func (n *node) start(dir string) {
	var err error
	n.log, err = os.OpenFile(filepath.Join(dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	n.cmd = exec.Command(program(), "run", n.file)
	n.cmd.Stdout, n.cmd.Stderr = n.log, n.log
	check(n.cmd.Start())
	startedMu.Lock()
	if !slices.Contains(started, n) {
		started = append(started, n)
	}
	startedMu.Unlock()
	n.done = make(chan error, 1)
	go func(c *exec.Cmd, done chan error) { done <- c.Wait() }(n.cmd, n.done)
}

func program() string {
	if p := os.Getenv("LAB_PROGRAM"); p != "" {
		return p
	}
	return "target/sardinelever"
}

func (n *node) signal(s syscall.Signal) { _ = n.cmd.Process.Signal(s) }

// lastWords returns the line of the log that says why the process ended.
func (n *node) lastWords() string {
	text, _ := os.ReadFile(n.log.Name())
	last := "no line says why"
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "fatal error") || strings.HasPrefix(line, "panic") {
			last = strings.TrimSpace(line)
		}
	}
	return last
}

// lastLine returns the last line of the log that has a text about the settings.
func (n *node) lastLine() string {
	text, _ := os.ReadFile(n.log.Name())
	last := "no line says why"
	for line := range strings.Lines(string(text)) {
		if strings.Contains(line, ".toml:") {
			_, last, _ = strings.Cut(strings.TrimSpace(line), ".toml:")
		}
	}
	return last
}

// stop ends the process.
func (n *node) stop() {
	if n.cmd == nil || n.cmd.ProcessState != nil {
		return
	}
	_ = n.cmd.Process.Signal(syscall.SIGCONT)
	_ = n.cmd.Process.Kill()
	<-n.done
}

func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + n.ready + "/ready")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == 200
}

func (n *node) awaitReady() {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n.isReady() {
			return
		}
	}
	check(fmt.Errorf("%s is not ready", n.name))
}

// peakMB returns the peak of the resident memory of the process in MB.
func (n *node) peakMB() (rss, peak float64) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	for line := range strings.Lines(string(text)) {
		var kb float64
		if k, _ := fmt.Sscanf(line, "VmHWM: %f kB", &kb); k == 1 {
			peak = kb / 1024
		}
		if k, _ := fmt.Sscanf(line, "VmRSS: %f kB", &kb); k == 1 {
			rss = kb / 1024
		}
	}
	return rss, peak
}
