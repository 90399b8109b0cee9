package jsonlines

import "bytes"

// maxRetainedBytes bounds the buffer that a splitter retains between lines.
const maxRetainedBytes = 1 << 10

// LineSplitter splits a stream into lines of less than MaxBytes, their end not included. Its buffer holds the
// incomplete line, and is empty between lines.
type LineSplitter struct {
	MaxBytes int
	partial  []byte
	lines    int   // passed on so far
	err      error // the first one; it ends the stream
}

// Buffered returns the number of bytes of the incomplete line.
func (s *LineSplitter) Buffered() int { return len(s.partial) }

// Lines returns the number of lines that were passed on.
func (s *LineSplitter) Lines() int { return s.lines }

// Feed passes each line that p completes to handle, without its end; the line is valid until handle returns. The first
// error, of handle or a *LineLengthError, is returned by this and every later call, and nothing more is passed on.
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

// exceedsLimit reports whether the current line is too long, given its next bytes and where among them it ends; -1 says
// that it does not.
func (s *LineSplitter) exceedsLimit(p []byte, end int) bool {
	if end < 0 {
		end = len(p)
	}
	return len(s.partial)+end >= s.MaxBytes
}

// complete returns the current line, given its last bytes.
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
