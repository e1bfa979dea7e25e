package workers

import (
	"slices"

	"lemonmoor/internal/jobs"
)

// ImageCache is the images that a machine has, or is fetching, the least recently used
// first. Reports do not list them; it follows from the tasks that were started
// there, the least recently used image going first.
type ImageCache []cachedImage

type cachedImage struct {
	name   string
	sizeGB float64
}

// Contains tells whether an image is there.
func (c ImageCache) Contains(image string) bool {
	return slices.ContainsFunc(c, func(entry cachedImage) bool { return entry.name == image })
}

// Use notes that a task with an image starts on a machine of a type; nil: not
// known, so nothing goes.
func (c *ImageCache) Use(image string, sizeGB float64, machineType *jobs.MachineType) {
	if n := len(*c); n > 0 && (*c)[n-1].name == image {
		return
	}
	list := slices.DeleteFunc(*c, func(entry cachedImage) bool { return entry.name == image })
	list = append(list, cachedImage{image, sizeGB})
	*c = list
	if machineType == nil {
		return
	}
	sum := 0.0
	for i := len(list) - 1; i >= 0; i-- {
		sum += list[i].sizeGB
		if sum > machineType.CacheGB && i < len(list)-1 {
			*c = slices.Delete(list, 0, i+1)
			return
		}
	}
}
