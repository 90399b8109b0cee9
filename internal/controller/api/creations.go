package api

import (
	"sync"
	"time"
)

const (
	creationRetention = 10 * time.Minute // how long a response is kept for retries
	maxCreations      = 10_000
)

// creations holds the responses to requests with an idempotency key that created a job, so that a retry gets the same
// response. After creationRetention, or after a restart, the stored record of the job identifies retries as long as the
// job exists.
type creations struct {
	mu    sync.Mutex
	byKey map[string]*creation
}

// creation is a request that creates a job. The response may be read once done is closed; it is nil if the request
// failed.
type creation struct {
	startedAt time.Time
	body      []byte
	done      chan struct{}
	response  []byte
}

// begin returns the creation with a key, and whether the caller is the first with this key. The first caller must call
// finish.
func (c *creations) begin(key string, body []byte) (entry *creation, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, entry := range c.byKey {
		if time.Since(entry.startedAt) > creationRetention || len(c.byKey) >= maxCreations {
			delete(c.byKey, k)
		}
	}
	if entry = c.byKey[key]; entry != nil {
		return entry, false
	}
	entry = &creation{startedAt: time.Now(), body: body, done: make(chan struct{})}
	c.byKey[key] = entry
	return entry, true
}

// finish passes the response to the retries that wait. After an error, the key may be used again.
func (c *creations) finish(key string, entry *creation, response []byte, err error) {
	if err == nil {
		entry.response = response
	} else {
		c.mu.Lock()
		delete(c.byKey, key)
		c.mu.Unlock()
	}
	close(entry.done)
}
