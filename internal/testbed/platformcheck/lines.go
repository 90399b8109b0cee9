package platformcheck

import (
	"bytes"
	"fmt"

	"glenport/internal/platform/jsonlines"
	"glenport/internal/testbed/simnet"
)

// overlongPrefixBytes is how much is shown of a line that is too long.
const overlongPrefixBytes = 256

// lineReader joins what the process writes on one connection to lines.
type lineReader struct {
	partial []byte
	first   simnet.Chunk // that with the first byte of the line
}

// receivedLine is a line of the process.
type receivedLine struct {
	text        []byte
	first, last simnet.Chunk // those with its first and its last byte
}

// mayBeDelayed reports whether the line may have been written later than it was meant to be, as the peer took too little.
func (l receivedLine) mayBeDelayed() bool { return l.first.Congested || l.last.Congested }

// feed passes on the lines that a chunk completes.
func (r *lineReader) feed(chunk simnet.Chunk, handle func(receivedLine)) {
	data := chunk.Data
	for len(data) > 0 {
		if len(r.partial) == 0 {
			r.first = chunk
		}
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			r.partial = append(r.partial, data...)
			r.truncateOverlong(chunk, handle)
			return
		}
		line := receivedLine{text: append(r.partial, data[:end]...), first: r.first, last: chunk}
		r.partial, data = nil, data[end+1:]
		handle(line)
	}
}

// truncateOverlong passes on the begin of a line that is longer than any may be, in place of the line: it may have no end.
func (r *lineReader) truncateOverlong(chunk simnet.Chunk, handle func(receivedLine)) {
	if len(r.partial) > jsonlines.MaxLineBytes {
		handle(receivedLine{text: r.partial[:overlongPrefixBytes], first: r.first, last: chunk})
		r.partial = nil
	}
}

// decode reads the message of a line.
func (l receivedLine) decode() (*jsonlines.Message, error) { return jsonlines.Decode(l.text) }

func endLine(call string, cause int) string {
	return fmt.Sprintf(`{"op":"end","call":%q,"with":{},"why":%d}`+"\n", call, cause)
}

func endLineWithNote(call string, cause int, note string) string {
	return fmt.Sprintf(`{"op":"end","call":%q,"with":{"note":%q},"why":%d}`+"\n", call, note, cause)
}

func endedLine(call string) string {
	return fmt.Sprintf(`{"op":"ended","call":%q,"with":{}}`+"\n", call)
}

func acceptLine(call, description string) string {
	return fmt.Sprintf(`{"op":"accept","call":%q,"with":{},"desc":%q}`+"\n", call, description)
}

func testLine(call string) string {
	return fmt.Sprintf(`{"op":"test","call":%q,"with":{},"why":0}`+"\n", call)
}

func testedLine(call string) string {
	return fmt.Sprintf(`{"op":"tested","call":%q,"with":{"load":"x0:12;x1:40"},"why":1}`+"\n", call)
}
