// Package gangforecast records which classes of gangs were submitted recently. More gangs of
// these classes may follow. If users expect the gangs of a class to start within seconds, the
// leader and the shard owners reserve room for the next ones: a machine that is rented only
// when a gang is submitted would take too long to boot.
//
// A Forecast belongs to the event loop and is not safe for concurrent use.
package gangforecast

import (
	"cmp"
	"slices"
	"time"

	"lemonmoor/internal/jobs"
	"lemonmoor/internal/tuning"
)

// Class is a class of gangs of which more may be submitted.
type Class struct {
	Spec  *jobs.Spec // of the gang observed last
	Tasks int        // number of tasks of the largest gang since the class was last removed
	// SeenAt is when a gang of the class was last observed, by the loop's clock.
	SeenAt time.Duration
}

// Forecast holds the recently observed classes. The zero value is ready for use.
type Forecast struct{ classes map[string]*Class }

// Observe records a gang. tasks is the number of its tasks that the caller knows of.
func (f *Forecast) Observe(spec *jobs.Spec, tasks int, now time.Duration) {
	if f.classes == nil {
		f.classes = map[string]*Class{}
	}
	class := f.classes[spec.Class]
	if class == nil {
		class = &Class{}
		f.classes[spec.Class] = class
	}
	class.Spec, class.Tasks, class.SeenAt = spec, max(class.Tasks, tasks), now
}

// Recent returns the classes observed within tuning.GangReservePeriod, sorted by name, and
// removes the others.
func (f *Forecast) Recent(now time.Duration) []*Class {
	recent := make([]*Class, 0, len(f.classes))
	for name, class := range f.classes {
		if now-class.SeenAt > tuning.GangReservePeriod {
			delete(f.classes, name)
			continue
		}
		recent = append(recent, class)
	}
	slices.SortFunc(recent, func(a, b *Class) int { return cmp.Compare(a.Spec.Class, b.Spec.Class) })
	return recent
}
