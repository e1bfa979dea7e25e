package workers

import (
	"slices"

	"lemonmoor/internal/jobs"
)

// ImageCache lists the images that a machine has or is fetching, the least recently used
// first. Heartbeats do not list images, so the cache is derived from the tasks that were
// started on the machine. A machine without space for another image drops the least recently
// used ones.
type ImageCache []cachedImage

type cachedImage struct {
	name   string
	sizeGB float64
}

// Contains reports whether the machine has, or is fetching, an image.
func (c ImageCache) Contains(image string) bool {
	return slices.ContainsFunc(c, func(entry cachedImage) bool { return entry.name == image })
}

// Use records that a task with an image of the given size, in gigabytes, starts on a machine
// of the given type. If the type is not known yet (nil), no image is considered dropped.
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
