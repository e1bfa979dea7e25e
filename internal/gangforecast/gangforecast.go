// Package gangforecast remembers which classes of gangs have come of late. More of them may
// come, and where the users expect a class to start within seconds, leader and owners
// reserve room for its next gangs: a machine rented when they come would boot too long.
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

// Class is a class of gangs that may come.
type Class struct {
	Spec  *jobs.Spec // of the newest gang
	Tasks int        // of the largest gang since the class was last forgotten
	// SeenAt is when the newest gang came, by the loop's clock.
	SeenAt time.Duration
}

// Forecast holds the classes seen of late. The zero value is ready for use.
type Forecast struct{ classes map[string]*Class }

// Observe notes that a gang has come, of which so many tasks are known.
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

// Recent returns the classes seen within tuning.GangReservePeriod, in the order of their
// names, and forgets the others.
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
