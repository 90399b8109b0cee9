package platformcheck

import (
	"bytes"
	"fmt"

	"glenport/internal/platform/jsonlines"
	"glenport/internal/testbed/simnet"
)

// overlongPrefixBytes is the length of the prefix that is shown of an overlong line.
const overlongPrefixBytes = 256

// lineReader assembles lines from the data that the process writes on one connection.
type lineReader struct {
	partial    []byte
	firstChunk simnet.Chunk // holds the first byte of the line
}

// receivedLine is a line written by the process.
type receivedLine struct {
	text                  []byte
	firstChunk, lastChunk simnet.Chunk // hold its first and its last byte
}

// mayBeDelayed reports whether the process may have written the line late because the peer read too slowly.
func (l receivedLine) mayBeDelayed() bool { return l.firstChunk.Congested || l.lastChunk.Congested }

// feed passes each line that a chunk completes to handle.
func (r *lineReader) feed(chunk simnet.Chunk, handle func(receivedLine)) {
	data := chunk.Data
	for len(data) > 0 {
		if len(r.partial) == 0 {
			r.firstChunk = chunk
		}
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			r.partial = append(r.partial, data...)
			r.truncateOverlong(chunk, handle)
			return
		}
		line := receivedLine{text: append(r.partial, data[:end]...), firstChunk: r.firstChunk, lastChunk: chunk}
		r.partial, data = nil, data[end+1:]
		handle(line)
	}
}

// truncateOverlong passes the prefix of a line that exceeds the maximum length to handle, because the line may never
// end.
func (r *lineReader) truncateOverlong(chunk simnet.Chunk, handle func(receivedLine)) {
	if len(r.partial) > jsonlines.MaxLineBytes {
		handle(receivedLine{text: r.partial[:overlongPrefixBytes], firstChunk: r.firstChunk, lastChunk: chunk})
		r.partial = nil
	}
}

// decode decodes the message of a line.
func (l receivedLine) decode() (*jsonlines.Message, error) { return jsonlines.Decode(l.text) }

func endLine(id string, cause int) string {
	return fmt.Sprintf(`{"op":"end","call":%q,"with":{},"why":%d}`+"\n", id, cause)
}

func endLineWithNote(id string, cause int, note string) string {
	return fmt.Sprintf(`{"op":"end","call":%q,"with":{"note":%q},"why":%d}`+"\n", id, note, cause)
}

func endedLine(id string) string {
	return fmt.Sprintf(`{"op":"ended","call":%q,"with":{}}`+"\n", id)
}

func acceptLine(id, description string) string {
	return fmt.Sprintf(`{"op":"accept","call":%q,"with":{},"desc":%q}`+"\n", id, description)
}

func testLine(id string) string {
	return fmt.Sprintf(`{"op":"test","call":%q,"with":{},"why":0}`+"\n", id)
}

func testedLine(id string) string {
	return fmt.Sprintf(`{"op":"tested","call":%q,"with":{"load":"x0:12;x1:40"},"why":1}`+"\n", id)
}
