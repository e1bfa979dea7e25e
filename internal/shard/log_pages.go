package shard

import (
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// logPages knows which page of the shard's log holds the newest status of which task, so
// that a page that holds none any more can be overwritten.
type logPages struct {
	// revisionOf returns the revision of a stored page, 0 if there is none.
	revisionOf func(page int) uint64
	pages      []logPage // by number
	inUse      []int     // the pages in use, in the order in which they were written
}

// logPage is one page of the log.
type logPage struct {
	// current counts the tasks whose newest status is on the page, written those that were
	// on it when it was written; tasks lists the latter.
	current, written int
	tasks            []*taskstate.Task
	inUse            bool
	beingWritten     bool // a commit of the page is in flight
	revision         uint64
}

// page returns a page of the log, which grows up to it.
func (p *logPages) page(number int) *logPage {
	for number >= len(p.pages) {
		p.pages = append(p.pages, logPage{revision: p.revisionOf(len(p.pages))})
	}
	return &p.pages[number]
}

// addTask notes that a page holds the newest status of a task. The page -1 stands for
// none.
func (p *logPages) addTask(number int, task *taskstate.Task) {
	if number < 0 {
		return
	}
	page := p.page(number)
	if !page.inUse {
		page.inUse, page.written, page.tasks = true, 0, page.tasks[:0]
		p.inUse = append(p.inUse, number)
	}
	page.current++
	page.written++
	page.tasks = append(page.tasks, task)
}

// removeTask notes that the status that a page holds of a task is no longer needed.
func (p *logPages) removeTask(number int) {
	if number >= 0 {
		p.pages[number].current--
	}
}

// reserve returns pages to write: those that hold no newest status, then new ones. Each
// stays reserved until it is released.
func (p *logPages) reserve(count int) []int {
	p.retireSuperseded()
	var reserved []int
	for number := 0; len(reserved) < count; number++ {
		if page := p.page(number); !page.inUse && !page.beingWritten {
			page.beingWritten = true
			reserved = append(reserved, number)
		}
	}
	return reserved
}

// retireSuperseded frees the pages that hold no newest status any more.
func (p *logPages) retireSuperseded() {
	inUse := p.inUse[:0]
	for _, number := range p.inUse {
		page := &p.pages[number]
		if page.current > 0 {
			inUse = append(inUse, number)
			continue
		}
		page.inUse = false
		clear(page.tasks)
		page.tasks = page.tasks[:0]
	}
	p.inUse = inUse
}

// release notes that no commit of the pages is in flight any more. The revision is that of
// the commit, 0 if it was not carried out.
func (p *logPages) release(numbers []int, revision uint64) {
	for _, number := range numbers {
		page := &p.pages[number]
		page.beingWritten = false
		if revision > 0 {
			page.revision = revision
		}
	}
}

// tasksToMove returns the tasks whose newest status is on the oldest page that is at least
// half superseded: written elsewhere, they leave the page free. It returns none while the
// log is short.
func (p *logPages) tasksToMove() []*taskstate.Task {
	if len(p.inUse) < tuning.LogCompactionPages {
		return nil
	}
	for _, number := range p.inUse {
		page := &p.pages[number]
		if page.current == 0 || page.current*2 > page.written {
			continue
		}
		tasks := make([]*taskstate.Task, 0, page.current)
		for _, task := range page.tasks {
			if task.Log.Page == number {
				tasks = append(tasks, task)
			}
		}
		return tasks
	}
	return nil
}
