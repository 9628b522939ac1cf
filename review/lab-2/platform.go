package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// platform does what the platform does for the processes of the instances: it kills one
// that exceeds the memory of its machine, and starts one again that has ended.
type platform struct {
	lab       *lab
	memoryMB  float64 // 0 means no limit.
	done      chan struct{}
	wg        sync.WaitGroup
	mu        sync.Mutex
	ends      map[string]int // Ends of processes by themselves or for their memory, by instance.
	firstText map[string]string
}

const (
	// restartDelay is the short delay after which an ended process starts again.
	restartDelay = 500 * time.Millisecond
	// memoryCheckPeriod is the time between two looks at the memory of a process.
	memoryCheckPeriod = 10 * time.Millisecond
	// Processes of faultMachines machines, a tenth of those in use but two at least, have to
	// end faultEnds times in a day for a fault by the rules.
	faultMachines = 2
	faultEnds     = 3
)

// watch starts a platform for all instances of l.
func (l *lab) watch(memoryMB float64) *platform {
	p := &platform{lab: l, memoryMB: memoryMB, done: make(chan struct{}), ends: map[string]int{}, firstText: map[string]string{}}
	for _, i := range l.instances {
		p.wg.Add(1)
		go p.watchInstance(i)
	}
	return p
}

func (p *platform) watchInstance(i *instance) {
	defer p.wg.Done()
	t := time.NewTicker(memoryCheckPeriod)
	defer t.Stop()
	for {
		select {
		case <-p.done:
			return
		case <-i.done:
			if !p.handleEnd(i, fmt.Sprintf("ended by itself (%s)", i.ended)) {
				return
			}
		case <-t.C:
			if mb := i.memory(); p.memoryMB > 0 && mb > p.memoryMB {
				i.signal(syscall.SIGKILL)
				<-i.done
				if !p.handleEnd(i, fmt.Sprintf("was killed, since it used %.0f MB of %.0f MB", mb, p.memoryMB)) {
					return
				}
			}
		}
	}
}

// handleEnd counts the end of a process and starts it again. It returns false if the watch
// ends before.
func (p *platform) handleEnd(i *instance, cause string) bool {
	p.mu.Lock()
	p.ends[i.name]++
	n := p.ends[i.name]
	if n == 1 {
		p.firstText[i.name] = i.stderrText()
	}
	p.mu.Unlock()
	p.lab.note("%s: the process %s; end %d", i.name, cause, n)
	select {
	case <-p.done:
		return false
	case <-time.After(restartDelay):
	}
	if err := i.restart(); err != nil {
		p.lab.note("%s: %v", i.name, err)
		return false
	}
	return true
}

// isFault reports whether processes have ended as often as the rules say.
func (p *platform) isFault() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	machines := 0
	for _, n := range p.ends {
		if n >= faultEnds {
			machines++
		}
	}
	return machines >= faultMachines
}

// stop ends the watch and notes what was seen.
func (p *platform) stop() {
	close(p.done)
	p.wg.Wait()
	p.lab.note("ends of processes by instance: %v", p.ends)
	for name, text := range p.firstText {
		if text != "" {
			p.lab.noteText(name+", last words before its first end", text)
			break
		}
	}
}

// maxStackLines is how much of the last words of a process is noted.
const maxStackLines = 24

// noteText notes the first lines of text, without the paths of files.
func (l *lab) noteText(title, text string) {
	if text == "" {
		return
	}
	l.note("%s:", title)
	lines := 0
	for line := range strings.SplitSeq(text, "\n") {
		if line == "" || strings.HasPrefix(line, "\t") {
			continue
		}
		if lines++; lines > maxStackLines {
			return
		}
		l.note("    %s", line)
	}
}

// memory returns the resident memory in MB.
func (i *instance) memory() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", i.pid()))
	var size, resident float64
	if n, _ := fmt.Sscan(string(text), &size, &resident); err != nil || n < 2 {
		return 0
	}
	return resident * float64(os.Getpagesize()) / (1 << 20)
}
