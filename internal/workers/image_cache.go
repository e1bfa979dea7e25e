package workers

import (
	"slices"

	"lemonmoor/internal/jobs"
)

// ImageCache is the images that a machine has, or is fetching, the least recently used
// first. Heartbeats do not list them; it follows from the tasks that were started there.
// A machine that runs out of room for images drops the least recently used ones.
type ImageCache []cachedImage

type cachedImage struct {
	name   string
	sizeGB float64
}

// Contains tells whether the machine has, or is fetching, an image.
func (c ImageCache) Contains(image string) bool {
	return slices.ContainsFunc(c, func(entry cachedImage) bool { return entry.name == image })
}

// Use notes that a task with an image of a size in gigabytes starts on a machine of a type.
// While the type is nil, not known yet, no image is taken for dropped.
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
