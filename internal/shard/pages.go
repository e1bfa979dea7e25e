package shard

import (
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// logPages knows which page of the block's log tells of which task, so that a page
// of which nothing is true any more can be written over.
type logPages struct {
	revisionOf func(int) uint64 // of a page, as the copy has it
	pages  []logPage
	inUse []int // pages in use, in the order in which they were written
}

type logPage struct {
	currentTasks  int               // tasks of which it is the newest record
	writtenTasks int               // tasks it told of when it was written
	tasks []*taskstate.Task // those
	inUse  bool
	beingWritten  bool // is being written
	revision uint64
}

func (p *logPages) page(n int) *logPage {
	for n >= len(p.pages) {
		p.pages = append(p.pages, logPage{revision: p.revisionOf(len(p.pages))})
	}
	return &p.pages[n]
}

// addTask notes that a page is the newest record on a task.
func (p *logPages) addTask(n int, t *taskstate.Task) {
	if n < 0 {
		return
	}
	g := p.page(n)
	if !g.inUse {
		g.inUse, g.writtenTasks, g.tasks = true, 0, g.tasks[:0]
		p.inUse = append(p.inUse, n)
	}
	g.currentTasks++
	g.writtenTasks++
	g.tasks = append(g.tasks, t)
}

// removeTask notes that what a page tells of a task counts no more.
func (p *logPages) removeTask(n int) {
	if n >= 0 {
		p.pages[n].currentTasks--
	}
}

// reserve finds pages to write: those that nothing is true of, or new ones.
func (p *logPages) reserve(number int) []int {
	order := p.inUse[:0]
	for _, n := range p.inUse {
		if g := &p.pages[n]; g.currentTasks > 0 {
			order = append(order, n)
		} else {
			g.inUse = false
			clear(g.tasks)
			g.tasks = g.tasks[:0]
		}
	}
	p.inUse = order
	var list []int
	for n := 0; len(list) < number; n++ {
		if g := p.page(n); !g.inUse && !g.beingWritten {
			g.beingWritten = true
			list = append(list, n)
		}
	}
	return list
}

// release notes that pages are no longer being written; stamp is that of the
// commit, 0 if there was none.
func (p *logPages) release(list []int, stamp uint64) {
	for _, n := range list {
		p.pages[n].beingWritten = false
		if stamp > 0 {
			p.pages[n].revision = stamp
		}
	}
}

// compactionTasks returns the tasks that an old page, most of which is superseded, still
// tells of; none while the log is short.
func (p *logPages) compactionTasks() []*taskstate.Task {
	if len(p.inUse) < tuning.LogCompactionPages {
		return nil
	}
	for _, n := range p.inUse {
		g := &p.pages[n]
		if g.currentTasks == 0 || g.currentTasks*2 > g.writtenTasks {
			continue
		}
		tasks := make([]*taskstate.Task, 0, g.currentTasks)
		for _, t := range g.tasks {
			if t.Log.Page == n {
				tasks = append(tasks, t)
			}
		}
		return tasks
	}
	return nil
}
