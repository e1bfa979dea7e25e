package shard

import (
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// pages knows which page of the block's log tells of which task, so that a page
// of which nothing is true any more can be written over.
type pages struct {
	stamp func(int) uint64 // of a page, as the copy has it
	list  []page
	order []int // pages in use, in the order in which they were written
}

type page struct {
	live  int               // tasks of which it is the newest record
	total int               // tasks it told of when it was written
	tasks []*taskstate.Task // those
	used  bool
	held  bool // is being written
	stamp uint64
}

func (p *pages) at(n int) *page {
	for n >= len(p.list) {
		p.list = append(p.list, page{stamp: p.stamp(len(p.list))})
	}
	return &p.list[n]
}

// put notes that a page is the newest record on a task.
func (p *pages) put(n int, t *taskstate.Task) {
	if n < 0 {
		return
	}
	g := p.at(n)
	if !g.used {
		g.used, g.total, g.tasks = true, 0, g.tasks[:0]
		p.order = append(p.order, n)
	}
	g.live++
	g.total++
	g.tasks = append(g.tasks, t)
}

// take notes that what a page tells of a task counts no more.
func (p *pages) take(n int) {
	if n >= 0 {
		p.list[n].live--
	}
}

// free finds pages to write: those that nothing is true of, or new ones.
func (p *pages) free(number int) []int {
	order := p.order[:0]
	for _, n := range p.order {
		if g := &p.list[n]; g.live > 0 {
			order = append(order, n)
		} else {
			g.used = false
			clear(g.tasks)
			g.tasks = g.tasks[:0]
		}
	}
	p.order = order
	var list []int
	for n := 0; len(list) < number; n++ {
		if g := p.at(n); !g.used && !g.held {
			g.held = true
			list = append(list, n)
		}
	}
	return list
}

// written notes that pages are no longer being written; stamp is that of the
// commit, 0 if there was none.
func (p *pages) written(list []int, stamp uint64) {
	for _, n := range list {
		p.list[n].held = false
		if stamp > 0 {
			p.list[n].stamp = stamp
		}
	}
}

// oldest returns the tasks that an old page, most of which is superseded, still
// tells of; none while the log is short.
func (p *pages) oldest() []*taskstate.Task {
	if len(p.order) < tuning.LogCompactionPages {
		return nil
	}
	for _, n := range p.order {
		g := &p.list[n]
		if g.live == 0 || g.live*2 > g.total {
			continue
		}
		tasks := make([]*taskstate.Task, 0, g.live)
		for _, t := range g.tasks {
			if t.Log.Page == n {
				tasks = append(tasks, t)
			}
		}
		return tasks
	}
	return nil
}
