package workers

import (
	"slices"

	"lemonmoor/internal/jobs"
)

// ImageCache is the images that a machine has, or is fetching, the least recently used
// first. Reports do not list them; it follows from the tasks that were started
// there, the least recently used image going first.
type ImageCache []cached

type cached struct {
	name string
	gb   float64
}

// Contains tells whether an image is there.
func (c ImageCache) Contains(image string) bool {
	return slices.ContainsFunc(c, func(o cached) bool { return o.name == image })
}

// Use notes that a task with an image starts on a machine of a type; nil: not
// known, so nothing goes.
func (c *ImageCache) Use(image string, gb float64, t *jobs.MachineType) {
	if n := len(*c); n > 0 && (*c)[n-1].name == image {
		return
	}
	list := slices.DeleteFunc(*c, func(o cached) bool { return o.name == image })
	list = append(list, cached{image, gb})
	*c = list
	if t == nil {
		return
	}
	sum := 0.0
	for i := len(list) - 1; i >= 0; i-- {
		sum += list[i].gb
		if sum > t.CacheGB && i < len(list)-1 {
			*c = slices.Delete(list, 0, i+1)
			return
		}
	}
}
