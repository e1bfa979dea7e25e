package shard

import (
	"lemonmoor/internal/taskstate"
	"lemonmoor/internal/tuning"
)

// logPages tracks which page of the shard's log holds the newest status of each task. A page
// that no longer holds any newest status can be overwritten.
type logPages struct {
	// revisionOf returns the revision of a stored page, 0 if there is none.
	revisionOf func(page int) uint64
	pages      []logPage // by page number
	inUse      []int     // numbers of the pages in use, in the order of writing
}

// logPage is one page of the log.
type logPage struct {
	// newestCount is the number of tasks whose newest status is on the page, writtenCount
	// the number of tasks that were on it when it was written; tasks lists the latter.
	newestCount, writtenCount int
	tasks                     []*taskstate.Task
	inUse                     bool
	beingWritten              bool // a commit of the page is in flight
	revision                  uint64
}

// page returns the page with a number. It extends the log if the page is beyond its end.
func (p *logPages) page(number int) *logPage {
	for number >= len(p.pages) {
		p.pages = append(p.pages, logPage{revision: p.revisionOf(len(p.pages))})
	}
	return &p.pages[number]
}

// addTask records that a page holds the newest status of a task. Page -1 means that no page
// does.
func (p *logPages) addTask(number int, task *taskstate.Task) {
	if number < 0 {
		return
	}
	page := p.page(number)
	if !page.inUse {
		page.inUse, page.writtenCount, page.tasks = true, 0, page.tasks[:0]
		p.inUse = append(p.inUse, number)
	}
	page.newestCount++
	page.writtenCount++
	page.tasks = append(page.tasks, task)
}

// removeTask records that the status of a task on a page is no longer needed.
func (p *logPages) removeTask(number int) {
	if number >= 0 {
		p.pages[number].newestCount--
	}
}

// record records that a status of a task was written to a page at a revision. Commits that overlap
// may be carried out, and answered, in any order.
func (p *logPages) record(task *taskstate.Task, number int, status taskstate.TaskStatus, revision uint64) {
	previous := task.Log.Page
	if task.Log.Record(number, status, revision) {
		p.removeTask(previous)
		p.addTask(number, task)
	}
}

// reserve returns the numbers of count pages to write: first pages that hold no newest
// status, then new ones. Each page stays reserved until release is called for it.
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

// retireSuperseded frees the pages that no longer hold any newest status.
func (p *logPages) retireSuperseded() {
	inUse := p.inUse[:0]
	for _, number := range p.inUse {
		page := &p.pages[number]
		if page.newestCount > 0 {
			inUse = append(inUse, number)
			continue
		}
		page.inUse = false
		clear(page.tasks)
		page.tasks = page.tasks[:0]
	}
	p.inUse = inUse
}

// release records that no commit of the pages is in flight any more. revision is that of the
// commit, 0 if it was not executed.
func (p *logPages) release(pageNumbers []int, revision uint64) {
	for _, number := range pageNumbers {
		page := &p.pages[number]
		page.beingWritten = false
		if revision > 0 {
			page.revision = revision
		}
	}
}

// tasksToMove returns the tasks whose newest status is on the oldest page that is at least
// half superseded. Writing them to another page frees this one. It returns nil while the log
// has fewer than tuning.LogCompactionPages pages in use.
func (p *logPages) tasksToMove() []*taskstate.Task {
	if len(p.inUse) < tuning.LogCompactionPages {
		return nil
	}
	for _, number := range p.inUse {
		page := &p.pages[number]
		if page.newestCount == 0 || page.newestCount*2 > page.writtenCount {
			continue
		}
		tasks := make([]*taskstate.Task, 0, page.newestCount)
		for _, task := range page.tasks {
			if task.Log.Page == number {
				tasks = append(tasks, task)
			}
		}
		return tasks
	}
	return nil
}
