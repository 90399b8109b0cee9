package jsonlines

import "bytes"

// maxRetainedBytes is the maximum capacity of the buffer that a splitter retains between lines.
const maxRetainedBytes = 1 << 10

// LineSplitter splits a stream into lines that are shorter than MaxBytes, not counting the line end. Its buffer holds
// the incomplete line and is empty between lines.
type LineSplitter struct {
	MaxBytes int
	partial  []byte
	lines    int   // number of lines passed to handle
	err      error // the first error, which ends the stream
}

// Buffered returns the number of bytes of the incomplete line.
func (s *LineSplitter) Buffered() int { return len(s.partial) }

// Lines returns the number of lines passed to the handlers of Feed.
func (s *LineSplitter) Lines() int { return s.lines }

// Feed passes each line that p completes to handle, without the line end. The line is valid until handle returns. The
// first error, either from handle or a *LineLengthError, stops the splitter: this call and all later calls return it
// and pass no further lines.
func (s *LineSplitter) Feed(p []byte, handle func(line []byte) error) error {
	for len(p) > 0 && s.err == nil {
		end := bytes.IndexByte(p, '\n')
		if s.exceedsLimit(p, end) {
			s.partial = nil
			s.err = &LineLengthError{MaxBytes: s.MaxBytes}
			break
		}
		if end < 0 {
			s.partial = append(s.partial, p...)
			break
		}
		s.lines++
		s.err = handle(s.complete(p[:end]))
		s.reset()
		p = p[end+1:]
	}
	return s.err
}

// exceedsLimit reports whether the current line is too long. The slice p holds the next bytes, and end is the index of
// the line end in p, or -1 if p contains none.
func (s *LineSplitter) exceedsLimit(p []byte, end int) bool {
	if end < 0 {
		end = len(p)
	}
	return len(s.partial)+end >= s.MaxBytes
}

// complete returns the current line, which ends with the bytes last.
func (s *LineSplitter) complete(last []byte) []byte {
	line := last
	if len(s.partial) > 0 {
		s.partial = append(s.partial, last...)
		line = s.partial
	}
	return bytes.TrimSuffix(line, []byte("\r"))
}

func (s *LineSplitter) reset() {
	s.partial = s.partial[:0]
	if cap(s.partial) > maxRetainedBytes {
		s.partial = nil
	}
}
