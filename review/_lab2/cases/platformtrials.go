package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// The functions below are trials of the report, not cases: they found no fault.

func init() {
	platformCases["term"] = term
	platformCases["reclaim"] = reclaim
}

// hang makes the machine read nothing and answer nothing any more; its connections stay open.
func (n *node) hang() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hung = true
}

// end ends a container at its machine, which reports it on any open connection and on the next one that is opened.
func (n *node) end(id string) {
	n.mu.Lock()
	delete(n.running, id)
	var open *lineConn
	for c := range n.conns {
		open = c
	}
	n.unreported = append(n.unreported, id) // it is sent also on the next connection that is opened
	n.mu.Unlock()
	n.rec.note("%s ends %s, reported now: %v", n.name, id, open != nil)
	if open != nil {
		open.send(message{Op: "end", Call: id, Why: cause(16)})
	}
}

// term sends SIGTERM to the placer under load, while one machine hangs.
func term(rec *recorder, root string, _ bool) (bool, error) {
	p, err := newPlatform(rec, root)
	if p != nil {
		defer p.close()
	}
	if err != nil {
		return false, err
	}
	p.nodes[rand.IntN(10)].hang()
	classes := []string{"matcher", "report-run"}
	asked := map[string]time.Time{}
	ask := func() { asked[p.request(classes[rand.IntN(2)])] = time.Now() }
	for range 100 {
		ask()
		time.Sleep(40 * time.Millisecond)
	}
	rec.note("SIGTERM")
	_ = p.placer.Process.Signal(syscall.SIGTERM)
	began := time.Now()
	for time.Since(began) < 550*time.Millisecond {
		ask()
		time.Sleep(20 * time.Millisecond)
	}
	exited := make(chan error, 1)
	go func() { exited <- p.placer.Wait() }()
	select {
	case err := <-exited:
		rec.note("the placer ended after %v: %v", time.Since(began), err)
	case <-time.After(3700*time.Millisecond - time.Since(began)):
		rec.note("the placer runs until SIGKILL")
		_ = p.placer.Process.Kill()
		<-exited
	}
	p.placer = nil
	time.Sleep(100 * time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	lost := 0
	for id, at := range asked {
		if p.answered[id] == "" {
			lost++
			rec.note("request %s, sent %v after SIGTERM, has no answer", id, at.Sub(began))
		}
	}
	rec.note("%d of %d requests have no answer", lost, len(asked))
	return lost > 0, nil
}

// reclaim kills the placer, starts it again, claims all containers, and ends them.
func reclaim(rec *recorder, root string, _ bool) (bool, error) {
	p, err := newPlatform(rec, root)
	if p != nil {
		defer p.close()
	}
	if err != nil {
		return false, err
	}
	for range 60 {
		p.request("report-run")
		time.Sleep(40 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	_ = p.placer.Process.Kill()
	_ = p.placer.Wait()
	p.owner.Close()
	rec.note("the placer is killed")
	ended := map[string]time.Time{}
	for i, n := range p.nodes { // some containers end while it is away
		if i%2 == 0 {
			for _, id := range n.list()[:1] {
				n.end(id)
				ended[id] = time.Now()
			}
		}
	}
	time.Sleep(2500 * time.Millisecond)
	again := exec.Command(filepath.Join(root, "bin", "glenport"), "platform")
	again.Env, again.Stderr = p.placer.Env, os.Stderr
	if err := again.Start(); err != nil {
		p.placer = nil
		return false, err
	}
	p.placer = again
	if err := p.connect(); err != nil {
		return false, err
	}
	back := time.Now()
	p.mu.Lock()
	for id := range p.placed {
		for _, n := range p.nodes {
			if p.at[id] == n.name {
				p.owner.send(message{Op: "offer", Call: id, Desc: "d", With: map[string]string{
					"class": "report-run", "left": "6000", "tenant": "skolar", "key": "aa" + id, "idem": id + id,
					"extras": fmt.Sprintf("cores:0.5;memory:1;service:%s;at:%s", id, n.name),
				}})
			}
		}
	}
	p.mu.Unlock()
	time.Sleep(3 * time.Second)
	for _, n := range p.nodes {
		for _, id := range n.list() {
			n.end(id)
			ended[id] = time.Now()
		}
	}
	time.Sleep(9 * time.Second)
	p.mu.Lock()
	defer p.mu.Unlock()
	late := 0
	for id, at := range ended {
		from := at
		if from.Before(back) {
			from = back
		}
		if told, ok := p.releasedAt[id]; !ok || told.Sub(from) > 8*time.Second {
			late++
			rec.note("the end of %s was not told in time: %v", id, ok)
		}
	}
	rec.note("%d of %d ends were not told in time", late, len(ended))
	return late > 0, nil
}
