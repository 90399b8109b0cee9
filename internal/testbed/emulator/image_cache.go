package emulator

import "slices"

// imageCache is the set of container images on a machine: those of running containers and the most recently used.
type imageCache struct {
	size    int
	recent  []string       // services, the most recently used first
	running map[string]int // number of running containers by service
}

func newImageCache(size int) *imageCache {
	return &imageCache{size: max(1, size), running: map[string]int{}}
}

func (c *imageCache) has(service string) bool {
	return slices.Contains(c.recent, service) || c.running[service] > 0
}

// touch marks an image as the most recently used and drops the images beyond the size of the cache.
func (c *imageCache) touch(service string) {
	if i := slices.Index(c.recent, service); i >= 0 {
		c.recent = slices.Delete(c.recent, i, i+1)
	}
	c.recent = slices.Insert(c.recent, 0, service)
	c.recent = c.recent[:min(len(c.recent), c.size)]
}

// acquire adds a running container of a service. The image of the service stays in the cache until release.
func (c *imageCache) acquire(service string) { c.running[service]++ }

// release removes a running container of a service.
func (c *imageCache) release(service string) {
	c.running[service]--
	if c.running[service] <= 0 {
		delete(c.running, service)
	}
}
