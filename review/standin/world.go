package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

const (
	modelService = "bluebell-pool"
	plainService = "circulation"
	stageService = "bus-schedule"
	host         = "pule25.example"
	// restartTime is how long a runner is away that a request has crashed ("back after some seconds").
	restartTime = 3 * time.Second
	// gatewayRestart is the platform's delay before it starts a process that has ended again.
	gatewayRestart = time.Second
	// stableWindow, configApply and the others are bounds of the site.
	stableWindow = 3 * time.Second
	configApply  = 2 * time.Second
)

// world is a small installation: store, runners, gateways, consumers and what they have seen.
type world struct {
	rec      *recorder
	store    *Store
	runners  []*Runner
	gateways []*gateway
	ctx      context.Context
	cancel   context.CancelFunc
	dir      string
	program  string
	spawn    chan func() // run by one thread that lives as long as this process
}

func newWorld(program, recordFile string) *world {
	dir, err := os.MkdirTemp("", "review-")
	check(err)
	w := &world{rec: newRecorder(recordFile), store: newStore(), dir: dir, program: program, spawn: make(chan func())}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	go w.spawner()
	return w
}

// spawner starts processes. They get SIGKILL when the thread that started them ends, so that none is left behind.
func (w *world) spawner() {
	runtime.LockOSThread()
	for start := range w.spawn {
		start()
	}
}

func (w *world) ended() bool { return w.ctx.Err() != nil }

// close ends all processes that the case has started.
func (w *world) close() {
	w.cancel()
	for _, g := range w.gateways {
		g.kill()
	}
	_ = os.RemoveAll(w.dir)
	w.rec.close()
}

var zones = []string{"tn-south-a", "tn-south-b", "tn-south-c"}

// addRunners starts count runners of a service, spread over the zones; set fills in the rest of each.
func (w *world) addRunners(service string, count int, set func(*Runner)) []*Runner {
	return w.addVersion(service, count, "v1", set)
}

// addVersion starts count runners of a version of a service.
func (w *world) addVersion(service string, count int, version string, set func(*Runner)) []*Runner {
	before := len(w.runnersOf(service))
	var out []*Runner
	for i := range count {
		r := &Runner{service: service, version: version, zone: zones[i%len(zones)], world: w}
		set(r)
		r.id = fmt.Sprintf("i-%s-%d", service, before+i)
		r.start()
		go r.checkIn(w.ctx)
		out = append(out, r)
	}
	w.runners = append(w.runners, out...)
	return out
}

// runnersOf returns the runners of a service that were started.
func (w *world) runnersOf(service string) []*Runner {
	var out []*Runner
	for _, r := range w.runners {
		if r.service == service {
			out = append(out, r)
		}
	}
	return out
}

// plainRunner and stageRunner set the figures of the site's plain service and of a stage.
func plainRunner(r *Runner) { r.slots, r.queue, r.work = 6, 24, 15*time.Millisecond }

func stageRunner(r *Runner) {
	r.slots, r.queue, r.pieces = 1, 2, &pieces{call: 240 * time.Millisecond, item: 26 * time.Millisecond}
}

func modelRunner(r *Runner) { r.slots, r.queue, r.work = 64, 192, 150*time.Millisecond }

// gateway is a machine that runs `bluebellflow gateway`.
type gateway struct {
	name, zone, caller, ready, file string
	world                           *world
	storeProxy                      *proxy

	mu       sync.Mutex
	cmd      *exec.Cmd
	started  time.Time
	killed   bool // by the test
	inRotate bool
	misses   int
	selfEnds int
}

// addGateways starts machines as the site has them: four, three and two in three zones.
func (w *world) addGateways() {
	for _, z := range []struct {
		zone  string
		count int
	}{{zones[0], 4}, {zones[1], 3}, {zones[2], 2}} {
		for i := range z.count {
			g := &gateway{name: fmt.Sprintf("front-%s-%d", z.zone, i+1), zone: z.zone, world: w, storeProxy: newProxy(w.store.addr())}
			g.caller, g.ready = freeAddr(), freeAddr()
			// The fields of deploy/gateway.json with the bounds of the site.
			settings := map[string]any{
				"name": g.name, "domain": z.zone, "region": "tn-south", "peer": freeAddr(), "caller": g.caller, "ready": g.ready,
				"metrics": freeAddr(), "store": g.storeProxy.addr(), "memory": 284, "cores": 0.4,
				"bounds": map[string]any{
					"grace": "8s", "cold": map[string]any{"over": 1.5, "slack": 5}, "retry": map[string]any{"ratio": 0.2, "slack": 58, "span": "10s"},
				},
			}
			raw, err := json.Marshal(settings)
			check(err)
			g.file = filepath.Join(w.dir, g.name+".json")
			check(os.WriteFile(g.file, raw, 0o600))
			w.gateways = append(w.gateways, g)
		}
	}
	for _, g := range w.gateways {
		g.start()
	}
	go w.poll()
}

// start starts the process with the command of the deploy file. It starts again a while after it has ended.
func (g *gateway) start() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.world.ended() {
		return
	}
	logFile, err := os.OpenFile(filepath.Join(g.world.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	cmd := exec.Command(g.world.program, "gateway", g.file)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	g.world.spawn <- func() { started <- cmd.Start() }
	check(<-started)
	g.cmd, g.started, g.killed = cmd, time.Now(), false
	go func() {
		_ = cmd.Wait()
		_ = logFile.Close()
		g.mu.Lock()
		byTest := g.killed
		if !byTest && !g.world.ended() {
			g.selfEnds++
			g.world.rec.log("process of %s ends by itself: %s", g.name, cmd.ProcessState)
		}
		g.mu.Unlock()
		time.AfterFunc(gatewayRestart, g.start)
	}()
}

// kill sends SIGKILL to the process.
func (g *gateway) kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.killed = true
	if g.cmd != nil && g.cmd.Process != nil {
		_ = g.cmd.Process.Kill()
	}
}

// inTouch reports whether the process has run for stableWindow.
func (g *gateway) inTouch(at time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return at.Sub(g.started) >= stableWindow
}

func (g *gateway) ends() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.selfEnds
}

// poll asks each machine once a second whether it is ready, as the platform does.
func (w *world) poll() {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for !w.ended() {
		for _, g := range w.gateways {
			go func() {
				resp, err := client.Get("http://" + g.ready + "/readyz")
				ok := err == nil && resp.StatusCode == http.StatusOK
				if err == nil {
					_ = resp.Body.Close()
				}
				g.mu.Lock()
				defer g.mu.Unlock()
				if ok {
					g.inRotate, g.misses = true, 0
					return
				}
				if g.misses++; g.misses >= 2 {
					g.inRotate = false
				}
			}()
		}
		time.Sleep(time.Second)
	}
}

// rotation returns the machines that get new channels: those of the zone, or all if none of them is ready.
func (w *world) rotation(zone string) []*gateway {
	var own, all []*gateway
	for _, g := range w.gateways {
		g.mu.Lock()
		ok := g.inRotate
		g.mu.Unlock()
		if !ok {
			continue
		}
		all = append(all, g)
		if g.zone == zone {
			own = append(own, g)
		}
	}
	if len(own) > 0 {
		return own
	}
	return all
}

// waitReady waits until all machines are in rotation.
func (w *world) waitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n := len(w.rotation("")); n == len(w.gateways) {
			return true
		}
	}
	return false
}

func listen(addr string) net.Listener {
	for range 100 {
		l, err := net.Listen("tcp", addr)
		if err == nil {
			return l
		}
		time.Sleep(20 * time.Millisecond)
	}
	fail("cannot listen on %s", addr)
	return nil
}

// The ports of freeAddr are below the ephemeral ports, because an outgoing channel could take the port of a process that is not
// started yet. Each play has a block of them for itself, so that several can be played side by side.
const (
	minPort    = 12_000
	blockPorts = 500
	portBlocks = 36
)

// blockListener listens at the first port of the block of this process as long as it runs, so that no other play takes the block.
var blockListener net.Listener

// portBlock returns the first port of the block of this process.
var portBlock = sync.OnceValue(func() int {
	for _, i := range rand.Perm(portBlocks) {
		first := minPort + i*blockPorts
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
		if err == nil {
			blockListener = l
			return first
		}
	}
	fail("no block of ports is free")
	return 0
})

var allocated = map[string]bool{}

// freeAddr returns an unused loopback address, each one only once.
func freeAddr() string {
	for {
		addr := fmt.Sprintf("127.0.0.1:%d", portBlock()+1+rand.IntN(blockPorts-1))
		if allocated[addr] {
			continue
		}
		allocated[addr] = true
		if l, err := net.Listen("tcp", addr); err == nil {
			_ = l.Close()
			return addr
		}
	}
}

func check(err error) {
	if err != nil {
		fail("%v", err)
	}
}

// fail ends a case that could not run.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	os.Exit(2)
}
