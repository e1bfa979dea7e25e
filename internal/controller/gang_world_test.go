package controller

import (
	"strconv"
	"strings"
	"time"
)

// simGang is one attempt of a gang, by the operators' words: its tasks find each
// other by the attempt's number, start and complete together, notice a loss within
// gang_peer_s and save together.
type simGang struct {
	w       *world
	j       *simJob
	members map[int]*member
	started time.Duration // 0: not yet
	halted  time.Duration // the first halt of the running gang, 0: none
	broken  bool          // one is gone
	over    bool
	stored  bool // progress is safe
}

type member struct {
	k *worker
	t *simTask
}

// join is what a task of a gang does on its machine: it gets its image, waits for
// the others, and runs with them.
func (k *worker) join(t *simTask, j *simJob) {
	if j.attempts == nil {
		j.attempts = map[uint64]*simGang{}
	}
	g := j.attempts[t.attempt]
	if g == nil {
		g = &simGang{w: k.w, j: j, members: map[int]*member{}}
		j.attempts[t.attempt] = g
	}
	t.mates, t.phase = g, "fetching"
	_, index, _ := strings.Cut(t.ref, "/")
	i, _ := strconv.Atoi(index)
	ends := t.ends
	live := func() bool { return t.ends == ends && !k.dead }
	k.w.after(time.Duration(50+k.w.rng.IntN(1500))*time.Millisecond, func() {
		if !live() {
			return
		}
		k.whenAwake(func() {
			if !live() {
				return
			}
			if j.done[i] {
				t.ends++
				t.phase, t.cause = "ended", "done"
				return
			}
			t.phase = "waiting"
			g.members[i] = &member{k, t}
			g.start()
			k.w.after(k.w.set.GangWaitTimeout(), func() {
				if live() && t.phase == "waiting" {
					t.end("alone")
				}
			})
		})
	})
}

// end ends a task that has not been killed.
func (t *simTask) end(cause string) {
	t.ends++
	t.phase, t.cause = "ended", cause
}

// there tells whether a member is on its machine and able to speak.
func (m *member) there(phase string) bool {
	return !m.k.dead && m.k.w.now >= m.k.hung && m.t.phase == phase && m.k.has(m.t)
}

func (k *worker) has(t *simTask) bool {
	for _, o := range k.tasks {
		if o == t {
			return true
		}
	}
	return false
}

// start lets the gang run when all are there.
func (g *simGang) start() {
	if g.started > 0 || len(g.members) < g.j.tasks {
		return
	}
	for _, m := range g.members {
		if !m.there("waiting") {
			return
		}
	}
	g.started = g.w.now
	g.j.gangStarts++
	g.w.drains.runs(g.j.id)
	for _, m := range g.members {
		m.t.phase = "running"
	}
	g.watch()
}

// progress of the job now.
func (g *simGang) progress() time.Duration { return g.j.saved + g.w.now - g.started }

// watch looks at the running gang from time to time.
func (g *simGang) watch() {
	if g.over {
		return
	}
	for _, m := range g.members {
		if !m.there("running") && !m.there("saving") {
			g.fall()
			return
		}
	}
	if g.halted == 0 && g.progress() >= g.j.length {
		g.over = true
		for i, m := range g.members {
			m.t.end("done")
			g.j.done[i] = true
		}
		return
	}
	g.w.after(100*time.Millisecond, g.watch)
}

// fall is the loss of a member: progress falls back to the last checkpoint, and
// the others notice.
func (g *simGang) fall() {
	if g.broken || g.over {
		return
	}
	g.broken = true
	if every := time.Duration(g.j.saveEvery * float64(time.Second)); every > 0 && !g.stored {
		until := g.w.now
		if g.halted > 0 {
			until = g.halted
		}
		g.j.saved = max(g.j.saved, (g.j.saved+until-g.started)/every*every)
	}
	for _, m := range g.members {
		ends := m.t.ends
		g.w.after(time.Duration(g.w.rng.IntN(int(g.w.set.GangPeerTimeout()))), func() {
			m.k.whenAwake(func() {
				if m.t.ends == ends && !m.k.dead && m.k.has(m.t) {
					m.t.end("mates_gone")
				}
			})
		})
	}
}

// halt stops a running member; false lets it exit at once.
func (g *simGang) halt(k *worker, t *simTask, windDown float64) bool {
	if t.phase == "saving" && windDown >= 1 {
		return true // a repeat
	}
	if g.started == 0 || g.over || t.phase != "running" {
		return false
	}
	if windDown < 1 || g.j.saveEvery == 0 || g.broken {
		g.w.after(0, g.fall)
		return false
	}
	if g.halted == 0 {
		g.halted = g.w.now
		g.w.after(g.w.set.GangPeerTimeout(), func() {
			// Those that were not told in time notice, and the save fails.
			for _, m := range g.members {
				if !g.stored && (m.t.told == 0 || !m.there("saving")) {
					g.fall()
					return
				}
			}
		})
	}
	t.phase, t.told = "saving", g.w.now
	g.w.after(time.Second, func() {
		for _, m := range g.members {
			if g.broken || !m.there("saving") || g.w.now < m.t.told+time.Second {
				return
			}
		}
		g.over, g.stored = true, true
		g.j.saved += g.halted - g.started
		for _, m := range g.members {
			m.t.end("halted")
			m.t.saved = true
		}
	})
	return true
}

// notice tells a machine that the cloud takes it.
func (k *worker) notice(in time.Duration) {
	if k.dead || k.taken > 0 {
		return
	}
	k.taken = k.w.now + in
	k.w.after(in, func() {
		if !k.dead {
			k.released = true
			k.die()
			k.w.cloud.room++
		}
	})
}
