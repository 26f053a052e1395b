package httpwire

import (
	"bytes"
	"strconv"
)

// maxChunkLineBytes is the maximum length of a chunk-size line, in bytes. It exceeds the
// number of digits of any accepted chunk size.
const maxChunkLineBytes = 32

// parseChunks parses the chunked body at the start of in. It returns the body and the
// size of all chunks including framing. Trailers are not supported.
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

// parseChunk parses the chunk at the start of in. It returns the data of the chunk and
// its size including framing. The last chunk of a body is empty.
func parseChunk(in []byte, maxData int) (data []byte, size int, err error) {
	line, _, ok := bytes.Cut(in, lineEnd)
	if !ok {
		if len(in) > maxChunkLineBytes {
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
