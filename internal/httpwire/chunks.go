package httpwire

import (
	"bytes"
	"strconv"
)

// maxChunkLine is the longest line that gives a chunk's size, in bytes: more digits
// than any size that is taken has.
const maxChunkLine = 32

// parseChunks returns the body in the chunks at the start of in, and their size
// with all framing. Trailers are not supported.
func parseChunks(in []byte, maxBody int) (body []byte, size int, err error) {
	for {
		data, chunkSize, err := parseChunk(in[size:], maxBody-len(body))
		if err != nil {
			return nil, 0, err
		}
		body = append(body, data...)
		size += chunkSize
		if len(data) == 0 {
			return body, size, nil
		}
	}
}

// parseChunk returns the data of the chunk at the start of in, and its size with
// its framing. The last chunk of a body is empty.
func parseChunk(in []byte, maxData int) (data []byte, size int, err error) {
	line, _, ok := bytes.Cut(in, lineEnd)
	if !ok {
		if len(in) > maxChunkLine {
			return nil, 0, errChunkSize
		}
		return nil, 0, ErrIncomplete
	}
	length, err := strconv.ParseUint(string(line), 16, maxLengthBits)
	if err != nil {
		return nil, 0, errChunkSize
	}
	if int(length) > maxData {
		return nil, 0, errChunkTooLarge
	}
	begin := len(line) + len(lineEnd)
	end := begin + int(length)
	size = end + len(lineEnd)
	if len(in) < size {
		return nil, 0, ErrIncomplete
	}
	if !bytes.Equal(in[end:size], lineEnd) {
		return nil, 0, errChunkEnd
	}
	return in[begin:end], size, nil
}
