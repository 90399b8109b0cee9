package eventloop

// output is the pending output of a connection.
type output struct {
	pending            []byte // at most limit bytes
	limit              int
	blocked            bool // the next write waits until the socket is writable
	shutdownAfterFlush bool // the write side is shut down once all output is written
	written            int  // bytes written so far
}

// add appends p to the pending output and returns true, or returns false if p would exceed the limit.
func (o *output) add(p []byte) bool {
	if len(o.pending)+len(p) > o.limit {
		return false
	}
	o.pending = append(o.pending, p...)
	return true
}

// write writes the pending output with one system call. If some of it is left, the output is marked as blocked.
func (o *output) write(kernel Kernel, fd int) error {
	if len(o.pending) == 0 {
		return nil
	}
	n, err := kernel.Write(fd, o.pending)
	if err != nil {
		if !isTransient(err) {
			return err
		}
		n = 0
	}
	o.written += n
	if n < len(o.pending) {
		o.pending = append(o.pending[:0], o.pending[n:]...)
		o.blocked = true
		return nil
	}
	o.pending = o.pending[:0]
	if cap(o.pending) > readBufferSize {
		o.pending = nil // release the memory of a burst
	}
	return nil
}
