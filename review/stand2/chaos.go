package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

type gangRun struct {
	members map[string]*member
	started bool
	over    bool
}

type member struct {
	k *worker
	t *task
}

func gangKey(t *task) string { return fmt.Sprintf("%s@%d", t.job.ID, t.try) }

// gangArrived counts a task of a gang that has its image; the last one starts all.
func (w *world) gangArrived(k *worker, t *task) {
	w.mu.Lock()
	g := w.gangs[gangKey(t)]
	if g == nil {
		g = &gangRun{members: map[string]*member{}}
		w.gangs[gangKey(t)] = g
	}
	if g.over || g.started {
		w.mu.Unlock()
		w.endMember(k, t, "mates_gone")
		return
	}
	g.members[t.name] = &member{k, t}
	complete := len(g.members) == t.job.Pieces
	var list []*member
	if complete {
		g.started = true
		for _, m := range g.members {
			list = append(list, m)
		}
		w.record.note("gang %s starts", gangKey(t))
	}
	w.mu.Unlock()
	if !complete {
		time.AfterFunc(45*time.Second, func() {
			w.mu.Lock()
			started := g.started
			w.mu.Unlock()
			if !started {
				w.endMember(k, t, "alone")
			}
		})
		return
	}
	for _, m := range list {
		m.k.mu.Lock()
		if m.t.phase == "waiting" {
			m.t.phase = "running"
			m.k.changed()
		}
		m.k.mu.Unlock()
	}
	time.AfterFunc(secondsOf(t.job.runS), func() {
		w.mu.Lock()
		if g.over {
			w.mu.Unlock()
			return
		}
		g.over = true
		w.mu.Unlock()
		for _, m := range list {
			w.taskDone(m.t.name)
		}
		for _, m := range list {
			w.endMember(m.k, m.t, "done")
		}
	})
}

func (w *world) endMember(k *worker, t *task, cause string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.dead || t.phase == "ended" {
		return
	}
	for _, present := range k.tasks {
		if present == t {
			k.off(t)
			t.phase, t.cause = "ended", cause
			k.changed()
			return
		}
	}
}

// gangLeft tells the others that a task has left.
func (w *world) gangLeft(t *task) {
	w.mu.Lock()
	g := w.gangs[gangKey(t)]
	if g == nil || g.over {
		w.mu.Unlock()
		return
	}
	if !g.started {
		delete(g.members, t.name)
		w.mu.Unlock()
		return
	}
	g.over = true
	var list []*member
	for _, m := range g.members {
		list = append(list, m)
	}
	w.mu.Unlock()
	time.Sleep(time.Duration(rand.IntN(8000)) * time.Millisecond)
	for _, m := range list {
		w.endMember(m.k, m.t, "mates_gone")
	}
}

// holdOrders returns for how long a direct command is held back.
func (w *world) holdOrders() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Now().Before(w.heldUntil) {
		return time.Until(w.heldUntil) + time.Duration(rand.IntN(3000))*time.Millisecond
	}
	return 0
}

// copyReport sends a late copy of some reports.
func (w *world) copyReport(node int, raw []byte) {
	w.mu.Lock()
	share := w.copyReports
	w.mu.Unlock()
	if rand.Float64() >= share {
		return
	}
	go func() {
		time.Sleep(time.Duration(rand.IntN(20000)) * time.Millisecond)
		response, err := http.Post("http://"+w.controllers[rand.IntN(3)].serveOn+"/agent/beat", "application/json", bytes.NewReader(raw))
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	}()
}

func init() { cases["chaos"] = chaos }

func chaos(record *recorder, trouble bool) error {
	d := lacquer()
	d.zones = []string{"north", "south", "west"}
	for i := range d.types {
		d.types[i].Yards = d.zones
	}
	d.capacity = map[place]int{}
	for _, t := range d.types {
		for _, yard := range t.Yards {
			d.capacity[place{t.Label, yard, false}], d.capacity[place{t.Label, yard, true}] = 2, 2
		}
	}
	for i := range d.teams {
		d.teams[i].CPUs, d.teams[i].CPUsMax = 30, 100
		if os.Getenv("SHARDS") != "" { // three shards, one for each controller
			d.teams[i].CPUs, d.teams[i].CPUsMax = 2500, 7000
		}
	}
	w, err := begin(record, d)
	if err != nil {
		return err
	}
	defer w.stop()
	end := record.started.Add(200 * time.Second)
	gangsFrom := record.started
	if old := os.Getenv("OLD"); old != "" { // the version in production runs first, and is replaced
		gangsFrom = record.started.Add(130 * time.Second)
		for _, c := range w.controllers {
			w.kill(c)
			c.command = append([]string{old}, c.command[1:]...)
			if err := w.start(c, "info"); err != nil {
				return err
			}
		}
		go w.upgrade()
	}
	var group sync.WaitGroup
	if trouble {
		w.state.lossy, w.copyReports = 0.01, 0.05
		group.Add(1)
		go func() { defer group.Done(); w.disturb(end) }()
	}
	for n := 0; time.Now().Before(end.Add(-20 * time.Second)); n++ {
		j := layerbatch(1000+n, lacquerTeam(rand.IntN(3)), 1+rand.IntN(12), 3+rand.Float64()*15)
		j.Kit = fmt.Sprintf("img-%02d", rand.IntN(4))
		switch rand.IntN(6) {
		case 0:
			j.SamePlace = true
		case 1:
			j.Spread = true
		case 2:
			if time.Now().Before(gangsFrom) {
				break
			}
			j.Shape, j.CPUs, j.SamePlace, j.Pieces = "gang", 4, rand.IntN(3) > 0, 2+rand.IntN(10)
		case 3:
			j.Shape, j.Urgency, j.CPUs, j.ExpectS, j.Pieces = "daemon", "urgent", 1, 0, 1+rand.IntN(3)
		}
		if rand.IntN(3) == 0 {
			j.SnapshotS, j.FlushS = 5, 2
		}
		cancelAt := time.Duration(-1)
		if j.Shape == "daemon" || rand.IntN(3) == 0 {
			cancelAt = time.Duration(2000+rand.IntN(30000)) * time.Millisecond
		}
		group.Add(1)
		go func() { defer group.Done(); w.follows(j, cancelAt, end) }()
		time.Sleep(time.Duration(rand.IntN(6000)) * time.Millisecond)
	}
	group.Wait()
	return nil
}

// follows is a user with one job.
func (w *world) follows(j *job, cancelAfter time.Duration, end time.Time) {
	if !w.submit(j) {
		return
	}
	accepted, final, confirmed := time.Now(), "", false
	failingSince := time.Time{}
	for time.Now().Before(end) {
		if cancelAfter >= 0 && !confirmed && time.Since(accepted) > cancelAfter {
			code, answer := w.request(submitClient, rand.IntN(3), "POST", "/work/"+j.ID+"/cancel", nil)
			w.record.note("user: cancel %s: %d %s", j.ID, code, answer)
			switch {
			case code == 404:
				w.record.breaks("forgotten", "cancel of %s gets 404", j.ID)
			case code == 200 && strings.Contains(string(answer), "cancelled"):
				confirmed, final = true, "cancelled"
				w.mu.Lock()
				w.cancelledAt[j.ID] = time.Now()
				w.mu.Unlock()
			case code == 200:
				confirmed, final = true, "done"
			}
		}
		code, s := w.poll(rand.IntN(3), j.ID)
		switch {
		case code == 404:
			w.record.breaks("forgotten", "%s gets 404", j.ID)
		case code == 200:
			failingSince = time.Time{}
			if final != "" && s.Phase != final {
				w.record.breaks("went_back", "%s was %s and is %s", j.ID, final, s.Phase)
			}
			if s.Phase == "cancelled" && cancelAfter < 0 {
				w.record.breaks("went_back", "%s is cancelled", j.ID)
			}
			if s.Phase == "done" && final == "" {
				final = "done"
				for i := range j.Pieces {
					if !w.isTaskDone(fmt.Sprintf("%s/%d", j.ID, i)) {
						w.record.breaks("not_done", "%s is done before %d", j.ID, i)
					}
				}
			}
			if s.Phase == "done" || s.Phase == "cancelled" {
				final = s.Phase
			}
		case failingSince.IsZero():
			failingSince = time.Now()
		}
		if rand.IntN(20) == 0 {
			if !w.submit(j) && time.Now().Before(end) {
				w.record.breaks("forgotten", "%s submitted again", j.ID)
			}
		}
		if at, is := w.cancelledAtOf(j.ID); is && time.Since(at) > w.cancel {
			for i := range j.Pieces {
				if name := fmt.Sprintf("%s/%d", j.ID, i); w.isOn(name) {
					w.record.breaks("ran_cancelled", "%s is on a machine", name)
				}
			}
		}
		time.Sleep(time.Duration(500+rand.IntN(3000)) * time.Millisecond)
	}
	if final == "" && time.Since(accepted) > 100*time.Second {
		w.record.note("OPEN %s: %s %d x %g, same %v spread %v", j.ID, j.Shape, j.Pieces, j.CPUs, j.SamePlace, j.Spread)
	}
}

func (w *world) cancelledAtOf(id string) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, is := w.cancelledAt[id]
	return at, is
}

// upgrade replaces the controllers by the new version, one after the other.
func (w *world) upgrade() {
	command, err := runCommand()
	if err != nil {
		w.fail("%v", err)
		return
	}
	time.Sleep(50 * time.Second)
	for _, c := range w.controllers {
		c.command = command
		w.record.note("controller %s is to be new", c.name)
		select {
		case <-c.ended: // it comes back new
		default:
			w.kill(c)
			time.Sleep(2 * time.Second)
			_ = w.start(c, "info")
		}
		time.Sleep(20 * time.Second)
	}
	w.record.note("all controllers are new")
}

// disturb plays drawn disruptions one after the other.
func (w *world) disturb(end time.Time) {
	busy := map[int]bool{}
	for time.Now().Before(end.Add(-20 * time.Second)) {
		time.Sleep(time.Duration(2000+rand.IntN(9000)) * time.Millisecond)
		i := rand.IntN(3)
		c := w.controllers[i]
		switch rand.IntN(11) {
		case 0:
			if !busy[i] {
				w.kill(c)
				time.Sleep(time.Duration(rand.IntN(8000)) * time.Millisecond)
				_ = w.start(c, "info")
			}
		case 1:
			for _, c := range w.controllers {
				w.kill(c)
			}
			time.Sleep(time.Duration(rand.IntN(8000)) * time.Millisecond)
			for _, c := range w.controllers {
				_ = w.start(c, "info")
			}
		case 2:
			w.signal(c, syscall.SIGSTOP)
			time.Sleep(time.Duration(3000+rand.IntN(17000)) * time.Millisecond)
			w.signal(c, syscall.SIGCONT)
		case 3:
			w.record.note("state service refuses %s", c.name)
			w.state.setRefused(c.name, true)
			time.Sleep(time.Duration(3000+rand.IntN(25000)) * time.Millisecond)
			w.state.setRefused(c.name, false)
			w.record.note("state service serves %s", c.name)
		case 4:
			w.record.note("state service is down")
			for _, c := range w.controllers {
				w.state.setRefused(c.name, true)
			}
			time.Sleep(time.Duration(3000+rand.IntN(22000)) * time.Millisecond)
			for _, c := range w.controllers {
				w.state.setRefused(c.name, false)
			}
			w.record.note("state service is up")
		case 5:
			w.mu.Lock()
			var names []string
			for name := range w.running {
				names = append(names, name)
			}
			w.mu.Unlock()
			if len(names) > 0 {
				w.dieWith(names[rand.IntN(len(names))])
			}
		case 6:
			w.cloud.takeSpot()
		case 8, 9:
			for _, m := range w.cloud.present() {
				if rand.IntN(2) == 0 {
					w.record.note("machine %s hangs", m.id)
					m.worker.mu.Lock()
					m.worker.hangUntil = time.Now().Add(time.Duration(1000+rand.IntN(15000)) * time.Millisecond)
					m.worker.mu.Unlock()
				}
			}
		case 10:
			for _, m := range w.cloud.present() {
				if m.loaners && rand.IntN(2) == 0 {
					at := time.Now().Add(time.Duration(7000+rand.IntN(15000)) * time.Millisecond)
					w.record.note("machine %s gets a notice", m.id)
					m.worker.mu.Lock()
					m.worker.takenAt = &at
					m.worker.mu.Unlock()
					m.worker.changed()
					time.AfterFunc(time.Until(at), func() { w.cloud.take(m) })
				}
			}
		case 7:
			w.mu.Lock()
			w.heldUntil = time.Now().Add(time.Duration(3000+rand.IntN(20000)) * time.Millisecond)
			w.mu.Unlock()
			w.record.note("direct commands are held back")
		}
	}
}
