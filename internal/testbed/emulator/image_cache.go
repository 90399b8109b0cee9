package emulator

import "slices"

// imageCache is the container images that a machine has: those of running containers, and some of those used last.
type imageCache struct {
	size    int
	recent  []string       // services, the last used first
	running map[string]int // containers, by service
}

func newImageCache(size int) *imageCache {
	return &imageCache{size: max(1, size), running: map[string]int{}}
}

func (c *imageCache) has(service string) bool {
	return slices.Contains(c.recent, service) || c.running[service] > 0
}

// touch makes an image the most recently used and drops those beyond the size of the cache.
func (c *imageCache) touch(service string) {
	if i := slices.Index(c.recent, service); i >= 0 {
		c.recent = slices.Delete(c.recent, i, i+1)
	}
	c.recent = slices.Insert(c.recent, 0, service)
	c.recent = c.recent[:min(len(c.recent), c.size)]
}

// acquire notes that a container of a service runs.
func (c *imageCache) acquire(service string) { c.running[service]++ }

// release notes that one no longer does.
func (c *imageCache) release(service string) {
	c.running[service]--
	if c.running[service] <= 0 {
		delete(c.running, service)
	}
}
