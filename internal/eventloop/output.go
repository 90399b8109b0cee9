package eventloop

// output is what a connection still has to write.
type output struct {
	pending []byte // limit bytes at most
	limit   int
	blocked bool // the peer must take output before more is written
	ended   bool // the write side is shut down once all is written
	written int  // bytes so far
}

// add appends all of p to what is pending and returns true, or nothing where the limit would be exceeded.
func (o *output) add(p []byte) bool {
	if len(o.pending)+len(p) > o.limit {
		return false
	}
	o.pending = append(o.pending, p...)
	return true
}

// write writes what is pending with one write. It is blocked where something is left.
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
		o.pending = nil // the memory of a burst is not kept
	}
	return nil
}
