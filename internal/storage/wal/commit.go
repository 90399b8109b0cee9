package wal

// commit is one call of Log.Commit.
type commit struct {
	changes []Change
	durable bool
	done    func(error)
}

// size is the size of all keys and values in bytes.
func (c commit) size() int {
	size := 0
	for _, change := range c.changes {
		size += len(change.Key) + len(change.Value)
	}
	return size
}

// run writes the queued commits in groups until the log is closed and the queue is empty.
func (l *Log) run() {
	for {
		commits := l.nextCommits()
		if len(commits) == 0 {
			l.waitForSnapshot()
			return
		}
		l.commitGroup(commits)
		l.snapshotIfDue()
	}
}

// nextCommits waits for commits and returns as many as fit into a group. It returns none once the log is closed and the
// queue is empty.
func (l *Log) nextCommits() []commit {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.queue) == 0 && !l.closing {
		l.workAvailable.Wait()
	}
	count, size := 0, 0
	for count < len(l.queue) && size < maxGroupBytes && (count == 0 || !l.options.SyncEachCommit) {
		size += l.queue[count].size()
		count++
	}
	commits := l.queue[:count:count]
	l.queue = l.queue[count:]
	return commits
}

// commitGroup writes commits as one group and calls their done functions.
func (l *Log) commitGroup(commits []commit) {
	var changes []Change
	durable := false
	for _, c := range commits {
		changes = append(changes, c.changes...)
		durable = durable || c.durable
	}
	err := l.rewrite()
	if err == nil {
		err = l.writeGroup(changes)
	}
	if err == nil && durable {
		err = l.syncSegment()
	}
	if err == nil {
		l.state.apply(changes)
	}
	l.reportMode(err, len(commits))
	l.counters.Commits += len(commits)
	for _, c := range commits {
		c.done(err)
	}
}

// reportMode reports when the log starts to reject commits and when it accepts them again.
func (l *Log) reportMode(err error, commits int) {
	if err != nil {
		if l.consecutiveRejects == 0 {
			l.options.OnModeChange("state log rejects commits", "error", err)
		}
		l.counters.Rejected += commits
		l.consecutiveRejects += commits
		return
	}
	if l.consecutiveRejects > 0 {
		l.options.OnModeChange("state log accepts commits again", "rejected_commits", l.consecutiveRejects)
		l.consecutiveRejects = 0
	}
}
